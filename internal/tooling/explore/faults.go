package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// bearsLoss tells whether all members of the newest sets chosen have their disks: the
// loss of one more is within the budget.
func (one *fleet) bearsLoss() bool {
	sets := &messages.Register{Acceptors: one.processes[0].first}
	for index := range one.votes {
		if one.votes[index].chosen {
			sets = one.table.at(one.votes[index].value)
		}
	}
	for _, member := range register.Targets(sets) {
		if one.processes[one.at(member.Name)].disk != member.Disk {
			return false
		}
	}
	return true
}

// wipe takes a machine's disk: it comes back empty, under a new identity, and knows
// only the sets that others tell it.
func (one *fleet) wipe(place int) *fleet {
	next := one.clone()
	next.wipes--
	at := &next.processes[place]
	at.promised, at.accepted, at.value = messages.Ballot{}, messages.Ballot{}, none
	if !one.plan.KeepIdentity {
		at.disk += "'"
		at.first = nil
	}
	next.restarted(place)
	for other := range next.processes {
		if other != place {
			next.learn(place, next.table.at(next.processes[other].known))
		}
	}
	next.tidy()
	return next
}

// restart begins a process's next life with its disk.
func (one *fleet) restart(place int) *fleet {
	next := one.clone()
	next.restarts--
	next.restarted(place)
	next.tidy()
	return next
}

func (one *fleet) restarted(place int) {
	at := &one.processes[place]
	if at.proposer != nil {
		run := *at.proposer
		run.life++
		run.settled, run.answers = true, nil
		at.proposer = &run
	}
	if at.value == none {
		at.known = one.table.id(&messages.Register{Acceptors: at.first})
		return
	}
	sets := setsOnly(one.table.at(at.value))
	at.known = one.table.id(&sets)
}
