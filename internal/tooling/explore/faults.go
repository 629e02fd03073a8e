package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// bearsLoss tells whether all members of the newest sets chosen have their disks: the
// loss of one more is within the budget.
func (f *registerState) toleratesLoss() bool {
	sets := &messages.RegisterValue{Acceptors: f.processes[0].first}
	for index := range f.votes {
		if f.votes[index].chosen {
			sets = f.table.value(f.votes[index].value)
		}
	}
	for _, member := range register.Targets(sets) {
		if f.processes[f.indexOf(member.Name)].disk != member.Disk {
			return false
		}
	}
	return true
}

// wipe takes a machine's disk: it comes back empty, under a new identity, and knows
// only the sets that others tell it.
func (f *registerState) wipe(i int) *registerState {
	next := f.clone()
	next.wipes--
	proc := &next.processes[i]
	proc.promised, proc.accepted, proc.value = messages.Ballot{}, messages.Ballot{}, none
	if !f.plan.KeepIdentity {
		proc.disk += "'"
		proc.first = nil
	}
	next.restarted(i)
	for other := range next.processes {
		if other != i {
			next.learnSets(i, next.table.value(next.processes[other].known))
		}
	}
	next.dropObsolete()
	return next
}

// restart begins a process's next life with its disk.
func (f *registerState) restart(i int) *registerState {
	next := f.clone()
	next.restarts--
	next.restarted(i)
	next.dropObsolete()
	return next
}

func (f *registerState) restarted(i int) {
	proc := &f.processes[i]
	if proc.proposer != nil {
		run := *proc.proposer
		run.incarnation++
		run.ended, run.responses = true, nil
		proc.proposer = &run
	}
	if proc.value == none {
		proc.known = f.table.id(&messages.RegisterValue{Acceptors: proc.first})
		return
	}
	sets := setsOnly(f.table.value(proc.value))
	proc.known = f.table.id(&sets)
}
