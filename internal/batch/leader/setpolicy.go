package leader

import (
	"lemonarch/internal/batch/leadership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// How much a store is worth as a joiner: one in the zone of the member that it replaces most
// likely was set up in its place, and one in a zone without a member spreads the copies.
const (
	scoreOther = iota
	scoreNewZone
	scoreSameZone
)

// storeSet is what the next change of the store set is decided on. It has no I/O.
type storeSet struct {
	self messages.Member
	// size is how many members tolerate the loss of the fault budget.
	size int
	// uptime is how long this process has been running.
	uptime  clock.Duration
	members []messages.Member
	// entries are the stores known, by name.
	entries map[string]messages.NodeInfo
	// retired names the machines that are to be emptied, answering the members that seemed
	// silent and answer all the same.
	retired, responding map[string]bool
}

// storeSet gathers what the next change is decided on.
func (p *Process) storeSet(members []messages.Member, entries map[string]messages.NodeInfo, retired, answering map[string]bool) *storeSet {
	return &storeSet{self: p.Election.Member(), size: 2*p.budget() + 1, uptime: clock.Now().Sub(p.Node.StartedAt),
		members: members, entries: entries, retired: retired, responding: answering}
}

// nextChange names the member to be replaced and who takes its place; no member with a
// joiner means that the set is too small. What is nearest to loss goes first: members whose
// disk was lost, a set with too few copies, members that departed, and only then those that
// are to be emptied, which still hold theirs.
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

// replaceDiskLost has the same machine with an empty disk take its own place again.
func (s *storeSet) replaceDiskLost() (out, joiner *messages.Member) {
	for i := range s.members {
		if s.isSelf(s.members[i]) {
			continue
		}
		if again := diskLost(s.members[i], s.entries, s.retired); again != nil {
			return &s.members[i], again
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

// replaceDeparted replaces a member that was silent for long.
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
		entry, known := s.entries[member.Name]
		if (known && entry.AgeMs >= limit.Milliseconds()) || (!known && s.uptime >= constants.ReplaceAfter) {
			return &s.members[i], spare
		}
	}
	return nil, nil
}

// replaceRetired replaces a member whose machine is to be emptied.
func (s *storeSet) replaceRetired() (out, joiner *messages.Member) {
	for i := range s.members {
		if spare := s.spare(s.members[i].Zone); s.retired[s.members[i].Name] && spare != nil {
			return &s.members[i], spare
		}
	}
	return nil, nil
}

// spare gives the best store that is no member, for the place of one in a zone.
func (s *storeSet) spare(zone string) *messages.Member {
	members, zones := map[string]bool{}, map[string]bool{}
	for _, member := range s.members {
		members[member.Name] = true
		zones[member.Zone] = true
	}
	var best *messages.Member
	bestScore := -1
	for name, entry := range s.entries {
		if members[name] || s.retired[name] || entry.Draining || entry.Disk == "" || entry.AgeMs >= constants.SuspectAfter.Milliseconds() {
			continue
		}
		score := scoreOther
		if entry.Zone == zone {
			score = scoreSameZone
		} else if !zones[entry.Zone] {
			score = scoreNewZone
		}
		if score > bestScore || (score == bestScore && name < best.Name) {
			bestScore = score
			best = &messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone}
		}
	}
	return best
}

// diskLost gives a member's machine with its new disk, where it came back empty.
func diskLost(member messages.Member, entries map[string]messages.NodeInfo, retired map[string]bool) *messages.Member {
	entry, known := entries[member.Name]
	if !known || entry.Disk == member.Disk || entry.Disk == "" || retired[member.Name] || entry.AgeMs >= constants.SuspectAfter.Milliseconds() {
		return nil
	}
	return &messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone}
}

// nextResponsiveChange names the next change whose joiner is not slow, and asks a member
// that seems silent itself. It leaves slow joiners out of entries.
func (p *Process) nextResponsiveChange(members []messages.Member, entries map[string]messages.NodeInfo, retired map[string]bool) (out, joiner *messages.Member) {
	answering := map[string]bool{}
	// Each further round leaves out a joiner or a member.
	for range len(entries) + len(members) {
		out, joiner = p.storeSet(members, entries, retired, answering).nextChange()
		switch {
		case joiner == nil || (out != nil && out.Name == joiner.Name):
			return out, joiner
		case p.isSlow(*joiner):
			p.Node.Log.Info("store passed over as slow or silent", "store", joiner.Name)
			// A store that everything must be copied to first had better be quick.
			delete(entries, joiner.Name)
		case out != nil && !retired[out.Name] && !p.isUnresponsive(*out):
			answering[out.Name] = true
		default:
			return out, joiner
		}
	}
	return nil, nil
}

// isUnresponsive asks a member itself: one that answers now has not departed.
func (p *Process) isUnresponsive(member messages.Member) bool {
	_, err := p.slowness(member)
	return err != nil
}

// isSlow asks a store that stands by; silence counts as slow.
func (p *Process) isSlow(member messages.Member) bool {
	resp, err := p.slowness(member)
	if err != nil {
		return true
	}
	return len(resp.Rows) == 1 && len(resp.Rows[0]) > 0 && resp.Rows[0][0] == leadership.SlownessSlow
}

// slowness asks a store whether its machine is slow.
func (p *Process) slowness(member messages.Member) (*messages.StatusResponse, error) {
	resp := &messages.StatusResponse{}
	err := transport.Call(p.Node.Transport, member.Address, messages.KindStatus, &messages.StatusRequest{Query: messages.QuerySlowness}, resp, constants.RoundTimeout)
	return resp, err
}
