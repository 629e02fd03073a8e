package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Plan says what a model of the register plays.
type Plan struct {
	// Members are the machines of the first acceptor set; Outsiders have an empty
	// disk and are in no set.
	Members, NonMembers []string
	// Writers are the machines whose processes each put one version on base 0.
	Writers []string
	// Tenders are the machines whose processes look after the acceptor set, as the
	// controllers do; they take Suspect, where set, for gone.
	Reconcilers []string
	Suspect     string
	// Versions is how many versions each writer puts in force one after the other,
	// each on the newest that it knows; none means one.
	Versions int
	// Attempts is how many ballots each of these processes opens at most.
	Attempts int
	// Wipes is how many machines lose their disks, at any moment at which no other
	// lost one is in the set, and Restarts how many processes start again with theirs.
	Wipes, Restarts int
	// Doubles is how many messages are delivered a second time.
	Duplicates int
	// KeepIdentity breaks the acceptor on purpose, to see the model find it: one that
	// lost its disk goes on voting under its old identity.
	KeepIdentity bool
	// IgnoreAccepted breaks the proposer on purpose: it overlooks what was accepted.
	IgnoreAccepted bool
	// SettleAtOnce breaks the change of members on purpose: the old set is let go
	// in the same step in which the new one is proposed.
	DropPreviousAtOnce bool
}

// process is one machine: an acceptor and, on some, a proposer.
type process struct {
	name  string
	disk  string
	first []messages.Member
	// promised, accepted and value are the acceptor's record; value is none where
	// nothing was accepted.
	promised, accepted messages.Ballot
	value              valueID
	// known is the newest value heard of, for its sets.
	known    valueID
	proposer *proposer
}

// proposer is what runs a machine's proposals, one attempt after the other.
type proposer struct {
	// version is what a writer puts in force; one without a generation is a tender.
	version     messages.Version
	attempts    int
	incarnation int64
	// ballot, known and answers name the attempt that runs: it is played again from
	// its beginning wherever it is needed. settled says that it has ended.
	ballot    messages.Ballot
	known     valueID
	responses []response
	ended     bool
	// accepting says that the attempt's second round was begun.
	accepting bool
	// told says that the version has a clear answer, and versions counts those that
	// had one before.
	responded bool
	versions  int
}

// answer is one message that came back to a proposer.
type response struct {
	member   messages.Member
	promise  *messages.PrepareResponse
	accepted *messages.AcceptResponse
	// key names it within the attempt.
	key string
}

// request is a message that has not reached its acceptor yet.
type request struct {
	from   int
	ballot messages.Ballot
	member messages.Member
	// value is what an accept carries; none for a prepare.
	value valueID
}

const none valueID = -1

// vote is what is known of one ballot: its value and who ever accepted it.
type vote struct {
	ballot messages.Ballot
	value  valueID
	voters []messages.Member
	chosen bool
}

// fleet is a state of the register's model.
type registerState struct {
	plan      *Plan
	table     *valueTable
	processes []process
	requests  []request
	votes     []vote
	// wipes, restarts and doubles are how many are left.
	wipes, restarts, duplicates int
	violation                   error
}

// NewFleet gives the first state of a plan's model.
func NewRegisterState(plan Plan) State {
	state := &registerState{plan: &plan, table: newValues(), wipes: plan.Wipes, restarts: plan.Restarts, duplicates: plan.Duplicates}
	var first []messages.Member
	for _, name := range plan.Members {
		first = append(first, messages.Member{Name: name, Address: name, Disk: "1"})
	}
	initial := state.table.id(&messages.RegisterValue{Acceptors: first})
	for _, name := range plan.Members {
		state.processes = append(state.processes, process{name: name, disk: "1", first: first, value: none, known: initial})
	}
	for _, name := range plan.NonMembers {
		state.processes = append(state.processes, process{name: name, disk: "1", value: none, known: initial})
	}
	for number, name := range plan.Writers {
		state.processes[state.indexOf(name)].proposer = &proposer{version: messages.Version{Generation: int64(number + 1), Hash: name}, ended: true}
	}
	for _, name := range plan.Reconcilers {
		state.processes[state.indexOf(name)].proposer = &proposer{ended: true}
	}
	return state
}

func (f *registerState) indexOf(name string) int {
	for i := range f.processes {
		if f.processes[i].name == name {
			return i
		}
	}
	panic("no such machine: " + name)
}

// clone copies what steps change. Proposers are copied by those who change them.
func (f *registerState) clone() *registerState {
	next := *f
	next.processes = append([]process(nil), f.processes...)
	next.requests = append([]request(nil), f.requests...)
	next.votes = append([]vote(nil), f.votes...)
	return &next
}

// member is a process as an acceptor.
func (p *process) member() messages.Member {
	return messages.Member{Name: p.name, Address: p.name, Disk: p.disk}
}

// acceptor gives the real acceptor with the process's record.
func (f *registerState) acceptor(i int) *register.Acceptor {
	proc := &f.processes[i]
	record := messages.AcceptorRecord{Disk: proc.disk, First: proc.first, Promised: proc.promised, Accepted: proc.accepted}
	if proc.value != none {
		record.HasValue, record.Value = true, *f.table.value(proc.value)
	}
	return register.NewAcceptor(record)
}

// keep takes over what the real acceptor has to have on disk.
func (f *registerState) storeRecord(i int, acceptor *register.Acceptor) {
	proc, record := &f.processes[i], acceptor.Record()
	proc.promised, proc.accepted = record.Promised, record.Accepted
	if record.HasValue {
		proc.value = f.table.id(&record.Value)
	}
}

// learn takes the sets of a value that a process has met.
func (f *registerState) learnSets(i int, value *messages.RegisterValue) {
	known := f.table.value(f.processes[i].known)
	if len(value.Acceptors) > 0 && (value.SetEpoch >= known.SetEpoch || len(known.Acceptors) == 0) {
		sets := setsOnly(value)
		f.processes[i].known = f.table.id(&sets)
	}
}
