package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// bearsLoss tells whether all members of the newest sets chosen have their disks: the
// loss of one more is within the budget.
func (f *fleet) bearsLoss() bool {
	sets := &messages.RegisterValue{Acceptors: f.processes[0].first}
	for index := range f.votes {
		if f.votes[index].chosen {
			sets = f.table.at(f.votes[index].value)
		}
	}
	for _, member := range register.Targets(sets) {
		if f.processes[f.at(member.Name)].disk != member.Disk {
			return false
		}
	}
	return true
}

// wipe takes a machine's disk: it comes back empty, under a new identity, and knows
// only the sets that others tell it.
func (f *fleet) wipe(i int) *fleet {
	next := f.clone()
	next.wipes--
	at := &next.processes[i]
	at.promised, at.accepted, at.value = messages.Ballot{}, messages.Ballot{}, none
	if !f.plan.KeepIdentity {
		at.disk += "'"
		at.first = nil
	}
	next.restarted(i)
	for other := range next.processes {
		if other != i {
			next.learn(i, next.table.at(next.processes[other].known))
		}
	}
	next.tidy()
	return next
}

// restart begins a process's next life with its disk.
func (f *fleet) restart(i int) *fleet {
	next := f.clone()
	next.restarts--
	next.restarted(i)
	next.tidy()
	return next
}

func (f *fleet) restarted(i int) {
	at := &f.processes[i]
	if at.proposer != nil {
		run := *at.proposer
		run.life++
		run.settled, run.answers = true, nil
		at.proposer = &run
	}
	if at.value == none {
		at.known = f.table.id(&messages.RegisterValue{Acceptors: at.first})
		return
	}
	sets := setsOnly(f.table.at(at.value))
	at.known = f.table.id(&sets)
}
