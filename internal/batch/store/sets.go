package store

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// reconcileSet keeps the store set whole: a member that is to be emptied, that came
// back with an empty disk, or that stays silent is replaced by one that first gets
// a copy of everything.
func (t *term) reconcileSet() {
	server := t.server
	if !server.holdsLease() {
		return
	}
	t.lock.Lock()
	members, busy := t.replicator.Members, t.replicator.Next != nil
	t.lock.Unlock()
	if t.tooSlow(clock.Now()) {
		t.close("this machine or its disk is slow")
		t.resign()
		return
	}
	if busy {
		return
	}
	if clock.Now().Sub(server.readAt()) > constants.GossipPeriod && !server.readRegister() {
		return
	}
	retired := map[string]bool{}
	server.lock.Lock()
	for _, name := range server.value.Retired {
		retired[name] = true
	}
	server.lock.Unlock()
	if retired[server.Node.Self.Name] {
		// Another has to lead the way out: this machine's copies go elsewhere.
		t.close("this machine is to be emptied")
		t.resign()
		return
	}
	entries := map[string]messages.NodeInfo{}
	for _, entry := range server.Node.All(membership.RoleStore) {
		entries[entry.Name] = entry
	}
	out, joiner := server.nextResponsiveChange(members, entries, retired)
	if joiner == nil {
		return
	}
	replacements := []replacement{{out, *joiner}}
	if out != nil && out.Name == joiner.Name {
		// All that came back empty take their places in one change: each second in
		// which one of them is not whole counts against the fault budget.
		replacements = replacements[:0]
		for i := range members {
			if resp := diskLost(members[i], entries, retired); resp != nil && members[i].Name != server.Node.Self.Name {
				replacements = append(replacements, replacement{&members[i], *resp})
			}
		}
	}
	t.changeSet(members, replacements)
}

// replacement puts a newcomer into a member's place, or adds it where out is nil.
type replacement struct {
	out *messages.Member
	in  messages.Member
}

// withReplacements gives the set after the swaps.
func withReplacements(members []messages.Member, replacements []replacement) []messages.Member {
	next := make([]messages.Member, 0, len(members)+1)
	for _, member := range members {
		stays := true
		for _, s := range replacements {
			stays = stays && (s.out == nil || register.Identity(member) != register.Identity(*s.out))
		}
		if stays {
			next = append(next, member)
		}
	}
	for _, s := range replacements {
		next = append(next, s.in)
	}
	return next
}

func (s *Server) readAt() clock.Instant {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lastRead
}

// nextResponsiveChange names the next change whose newcomer is not slow, and asks a member
// that seems silent for a last word.
func (s *Server) nextResponsiveChange(members []messages.Member, entries map[string]messages.NodeInfo, retired map[string]bool) (out, joiner *messages.Member) {
	answering := map[string]bool{}
	// Each further round leaves out a newcomer or a member.
	for range len(entries) + len(members) {
		out, joiner = s.nextChange(members, entries, retired, answering)
		switch {
		case joiner == nil || (out != nil && out.Name == joiner.Name):
			return out, joiner
		case s.isSlow(*joiner):
			s.Node.Log.Info("store passed over as slow or silent", "store", joiner.Name)
			// A store that everything must be copied to first had better be quick.
			delete(entries, joiner.Name)
		case out != nil && !retired[out.Name] && !s.isSilent(*out):
			answering[out.Name] = true
		default:
			return out, joiner
		}
	}
	return nil, nil
}

// isSilent asks a member itself: one that answers now is not gone.
func (s *Server) isSilent(member messages.Member) bool {
	return transport.Call(s.Node.Transport, member.Address, messages.KindStatus, &messages.StatusRequest{Query: "pace"}, &messages.StatusResponse{}, constants.RoundTimeout) != nil
}

// nextChange names the member to be replaced and who takes its place; a nil member
// with a newcomer means that the set is too small. What is nearest to loss goes first:
// members that came back empty, a set with too few copies, members that are gone, and
// only then those that are to be emptied, which still hold theirs.
func (s *Server) nextChange(members []messages.Member, entries map[string]messages.NodeInfo, retired, answering map[string]bool) (out, joiner *messages.Member) {
	own := register.Identity(s.member())
	for index := range members {
		member := &members[index]
		if register.Identity(*member) == own {
			continue
		}
		if resp := diskLost(*member, entries, retired); resp != nil {
			// The same machine with an empty disk takes its own place again.
			return member, resp
		}
	}
	spare := func(zone string) *messages.Member {
		var found *messages.Member
		inSet, zones := map[string]bool{}, map[string]bool{}
		for _, member := range members {
			inSet[member.Name] = true
			zones[member.Zone] = true
		}
		best := -1
		for name, entry := range entries {
			if inSet[name] || retired[name] || entry.Draining || entry.Disk == "" || entry.AgeMs >= constants.SuspectAfter.Milliseconds() {
				continue
			}
			score := 0
			if entry.Zone == zone {
				score = 2
			} else if !zones[entry.Zone] {
				score = 1
			}
			if score > best || (score == best && name < found.Name) {
				best = score
				found = &messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone}
			}
		}
		return found
	}
	if len(members) < 2*s.budget()+1 {
		if found := spare(""); found != nil {
			return nil, found
		}
	}
	up := clock.Now().Sub(s.startedAt)
	for index := range members {
		member := &members[index]
		entry, known := entries[member.Name]
		found := spare(member.Zone)
		if found == nil || answering[member.Name] || register.Identity(*member) == own {
			continue
		}
		patience := constants.ReplaceAfter
		if found.Zone == member.Zone {
			// A store in the same zone was most likely set up in its place.
			patience = constants.SuspectAfter
		}
		if (known && entry.AgeMs >= patience.Milliseconds()) || (!known && up >= constants.ReplaceAfter) {
			return member, found
		}
	}
	for index := range members {
		if found := spare(members[index].Zone); retired[members[index].Name] && found != nil {
			return &members[index], found
		}
	}
	return nil, nil
}
