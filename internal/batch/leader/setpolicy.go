package leader

import (
	"lemonarch/internal/batch/leadership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Scores of a spare store as a joiner. A store in the zone of the member to be replaced was most
// likely set up as its replacement. A store in a zone without a member spreads the copies.
const (
	scoreOther = iota
	scoreNewZone
	scoreSameZone
)

// storeSet contains the inputs for deciding the next change of the store set. It performs no I/O.
type storeSet struct {
	self messages.Member
	// size is the number of members needed to tolerate the fault budget.
	size int
	// uptime is the time since this process started.
	uptime  clock.Duration
	members []messages.Member
	// nodes are the known stores by name.
	nodes map[string]messages.NodeInfo
	// retired contains the names of the machines to be emptied. responding contains the names of
	// the members that seemed silent but responded to a direct request.
	retired, responding map[string]bool
}

// storeSet collects the inputs for deciding the next change.
func (p *Process) storeSet(members []messages.Member, nodes map[string]messages.NodeInfo, retired, responding map[string]bool) *storeSet {
	return &storeSet{self: p.Election.Member(), size: 2*p.budget() + 1, uptime: clock.Now().Sub(p.Node.StartedAt),
		members: members, nodes: nodes, retired: retired, responding: responding}
}

// nextChange returns the member to be replaced and the store that replaces it. If only a joiner is
// returned, the set is too small and the joiner is added. The changes are ordered by the risk of
// losing records: first members whose disk was lost, then a set with too few members, then departed
// members, and last members on retired machines, which still have their copies.
func (s *storeSet) nextChange() (out, joiner *messages.Member) {
	steps := []func() (out, joiner *messages.Member){s.replaceDiskLost, s.fill, s.replaceDeparted, s.replaceRetired}
	for _, step := range steps {
		if out, joiner = step(); joiner != nil {
			return out, joiner
		}
	}
	return nil, nil
}

func (s *storeSet) isSelf(member messages.Member) bool {
	return register.Identity(member) == register.Identity(s.self)
}

// replaceDiskLost replaces a member by the same machine with its new, empty disk.
func (s *storeSet) replaceDiskLost() (out, joiner *messages.Member) {
	for i := range s.members {
		if s.isSelf(s.members[i]) {
			continue
		}
		if rejoined := diskLost(s.members[i], s.nodes, s.retired); rejoined != nil {
			return &s.members[i], rejoined
		}
	}
	return nil, nil
}

// fill adds a store to a set that is too small.
func (s *storeSet) fill() (out, joiner *messages.Member) {
	if len(s.members) >= s.size {
		return nil, nil
	}
	return nil, s.spare("")
}

// replaceDeparted replaces a member that has been silent for longer than the limit: SuspectAfter if
// the spare store is in the same zone, and ReplaceAfter otherwise. A member that this process does
// not know counts as silent once the process has been running for ReplaceAfter.
func (s *storeSet) replaceDeparted() (out, joiner *messages.Member) {
	for i := range s.members {
		member := s.members[i]
		spare := s.spare(member.Zone)
		if spare == nil || s.responding[member.Name] || s.isSelf(member) {
			continue
		}
		limit := constants.ReplaceAfter
		if spare.Zone == member.Zone {
			limit = constants.SuspectAfter
		}
		node, known := s.nodes[member.Name]
		if (known && node.AgeMs >= limit.Milliseconds()) || (!known && s.uptime >= constants.ReplaceAfter) {
			return &s.members[i], spare
		}
	}
	return nil, nil
}

// replaceRetired replaces a member on a retired machine.
func (s *storeSet) replaceRetired() (out, joiner *messages.Member) {
	for i := range s.members {
		if spare := s.spare(s.members[i].Zone); s.retired[s.members[i].Name] && spare != nil {
			return &s.members[i], spare
		}
	}
	return nil, nil
}

// spare returns the best store that is not a member, to replace a member in the given zone. It
// skips stores that are retired, draining, silent or without a known disk, and returns nil if no
// other is left.
func (s *storeSet) spare(zone string) *messages.Member {
	members, zones := map[string]bool{}, map[string]bool{}
	for _, member := range s.members {
		members[member.Name] = true
		zones[member.Zone] = true
	}
	var best *messages.Member
	bestScore := -1
	for name, node := range s.nodes {
		if members[name] || s.retired[name] || node.Draining || node.Disk == "" || node.AgeMs >= constants.SuspectAfter.Milliseconds() {
			continue
		}
		score := scoreOther
		if node.Zone == zone {
			score = scoreSameZone
		} else if !zones[node.Zone] {
			score = scoreNewZone
		}
		if score > bestScore || (score == bestScore && name < best.Name) {
			bestScore = score
			best = &messages.Member{Name: node.Name, Disk: node.Disk, Address: node.Address, Zone: node.Zone}
		}
	}
	return best
}

// diskLost returns a member's machine with its new disk if the machine returned with a different
// disk, and nil otherwise. It also returns nil if the machine is retired or silent.
func diskLost(member messages.Member, nodes map[string]messages.NodeInfo, retired map[string]bool) *messages.Member {
	node, known := nodes[member.Name]
	if !known || node.Disk == member.Disk || node.Disk == "" || retired[member.Name] || node.AgeMs >= constants.SuspectAfter.Milliseconds() {
		return nil
	}
	return &messages.Member{Name: node.Name, Disk: node.Disk, Address: node.Address, Zone: node.Zone}
}

// nextResponsiveChange returns the next change whose joiner is not slow. Before it replaces a member
// that seems silent, it sends a request to that member. It deletes slow joiners from nodes.
// A member's own machine that rejoins with a new disk is not checked.
func (p *Process) nextResponsiveChange(members []messages.Member, nodes map[string]messages.NodeInfo, retired map[string]bool) (out, joiner *messages.Member) {
	responding := map[string]bool{}
	// Each further round excludes one more joiner or member.
	for range len(nodes) + len(members) {
		out, joiner = p.storeSet(members, nodes, retired, responding).nextChange()
		switch {
		case joiner == nil || (out != nil && out.Name == joiner.Name):
			return out, joiner
		case p.isSlow(*joiner):
			p.Node.Log.Info("slow or unresponsive store skipped", "store", joiner.Name)
			// All records must be copied to a joiner first, so it should not be slow.
			delete(nodes, joiner.Name)
		case out != nil && !retired[out.Name] && !p.isUnresponsive(*out):
			responding[out.Name] = true
		default:
			return out, joiner
		}
	}
	return nil, nil
}

// isUnresponsive reports whether a member fails to respond to a request. A member that responds has
// not departed.
func (p *Process) isUnresponsive(member messages.Member) bool {
	_, err := p.slowness(member)
	return err != nil
}

// isSlow reports whether a spare store is slow. A store that does not respond counts as slow.
func (p *Process) isSlow(member messages.Member) bool {
	resp, err := p.slowness(member)
	if err != nil {
		return true
	}
	return len(resp.Rows) == 1 && len(resp.Rows[0]) > 0 && resp.Rows[0][0] == leadership.SlownessSlow
}

// slowness requests the slowness report from a store.
func (p *Process) slowness(member messages.Member) (*messages.StatusResponse, error) {
	resp := &messages.StatusResponse{}
	err := transport.Call(p.Node.Transport, member.Address, messages.KindStatus, &messages.StatusRequest{Query: messages.QuerySlowness}, resp, constants.RoundTimeout)
	return resp, err
}
