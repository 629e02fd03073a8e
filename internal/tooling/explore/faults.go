package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// toleratesLoss reports whether all members of the newest chosen acceptor sets have their
// disks. Only then is the loss of one more within the fault budget.
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

// wipe erases a machine's disk. The machine comes back empty, under a new identity, and knows
// only the sets that it learns from others.
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

// restart begins the next incarnation of a process, which keeps its disk.
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
