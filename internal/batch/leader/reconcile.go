package leader

import (
	"slices"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// reconcileSet keeps the store set complete. A member that is retired, returned with an empty disk,
// or stays silent is replaced by a store that first receives a copy of all records.
func (t *Term) reconcileSet() {
	process := t.process
	if !process.Election.HoldsLease() {
		return
	}
	t.lock.Lock()
	members, busy := t.records.replicator.Members, t.records.replicator.Next != nil
	t.lock.Unlock()
	if t.tooSlow(clock.Now()) {
		t.Close("own machine or disk is slow")
		t.Resign()
		return
	}
	if busy {
		return
	}
	if process.Election.RegisterAge() > constants.GossipPeriod && !process.Election.ReadRegister() {
		return
	}
	t.checkRegisterSet(members)
	retired := map[string]bool{}
	for _, name := range process.Election.Register().Retired {
		retired[name] = true
	}
	if retired[process.Node.Self.Name] {
		// Another process has to lead the change that moves this machine's copies elsewhere.
		t.Close("own machine is retired")
		t.Resign()
		return
	}
	nodes := process.knownStores()
	out, joiner := process.nextResponsiveChange(members, nodes, retired)
	if joiner == nil {
		return
	}
	replacements := []replacement{{out, *joiner}}
	switch {
	case out == nil:
		// All missing members join in one change, because the set tolerates fewer faults than
		// the fault budget for as long as it is too small.
		replacements = process.fillReplacements(members, nodes, retired)
	case out.Name == joiner.Name:
		replacements = replacements[:0]
		for i := range members {
			if rejoined := diskLost(members[i], nodes, retired); rejoined != nil && members[i].Name != process.Node.Self.Name {
				replacements = append(replacements, replacement{&members[i], *rejoined})
			}
		}
	}
	t.changeSet(replacements)
}

// checkRegisterSet logs an error if the store set in the register, under this term's epoch, differs
// from the set that this term uses to count copies.
func (t *Term) checkRegisterSet(members []messages.Member) {
	value := t.process.Election.Register()
	if value.Leadership.Epoch != t.leadership.Epoch || register.SameMembers(value.Stores, members) {
		return
	}
	t.process.Node.Log.Error("store set differs from the one in the register", "epoch", t.leadership.Epoch, "counted", len(members), "named", len(value.Stores))
}

// knownStores returns the known stores by name.
func (p *Process) knownStores() map[string]messages.NodeInfo {
	nodes := map[string]messages.NodeInfo{}
	for _, node := range p.Node.All(membership.RoleStore) {
		nodes[node.Name] = node
	}
	return nodes
}

// fillReplacements returns the stores to be added to a set that is too small, the best first. It
// skips slow stores and deletes them from nodes.
func (p *Process) fillReplacements(members []messages.Member, nodes map[string]messages.NodeInfo, retired map[string]bool) []replacement {
	var additions []replacement
	set := p.storeSet(slices.Clone(members), nodes, retired, nil)
	for {
		_, joiner := set.fill()
		if joiner == nil {
			return additions
		}
		if p.isSlow(*joiner) {
			delete(nodes, joiner.Name)
			continue
		}
		set.members = append(set.members, *joiner)
		additions = append(additions, replacement{nil, *joiner})
	}
}

// replacement is a change that replaces the member out by the joiner in, or adds the joiner if out is
// nil.
type replacement struct {
	out *messages.Member
	in  messages.Member
}

// withReplacements returns the set after the replacements.
func withReplacements(members []messages.Member, replacements []replacement) []messages.Member {
	next := make([]messages.Member, 0, len(members)+1)
	for _, member := range members {
		remains := true
		for _, change := range replacements {
			remains = remains && (change.out == nil || register.Identity(member) != register.Identity(*change.out))
		}
		if remains {
			next = append(next, member)
		}
	}
	for _, change := range replacements {
		next = append(next, change.in)
	}
	return next
}
