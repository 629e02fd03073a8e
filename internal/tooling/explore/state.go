package explore

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Plan configures a model of the register.
type Plan struct {
	// Members are the machines of the first acceptor set. NonMembers have an empty disk and are
	// in no set.
	Members, NonMembers []string
	// Writers are the machines whose processes propose versions, each its first one on base 0.
	Writers []string
	// Reconcilers are the machines whose processes maintain the acceptor set, as the
	// controllers do. If Suspect is set, they consider it departed.
	Reconcilers []string
	Suspect     string
	// Versions is the number of versions that each writer applies one after the other, each
	// based on the newest that it knows. Zero means one.
	Versions int
	// Attempts is the maximum number of ballots that each writer and reconciler opens.
	Attempts int
	// Wipes is the number of machines that lose their disks, at any moment at which no other
	// member of the set has lost its disk. Restarts is the number of processes that restart and
	// keep their disk.
	Wipes, Restarts int
	// Duplicates is the number of messages that are delivered a second time.
	Duplicates int
	// KeepIdentity is a deliberate defect of the acceptor that the model must detect: an
	// acceptor that lost its disk continues to vote under its old identity.
	KeepIdentity bool
	// IgnoreAccepted is a deliberate defect of the proposer: it ignores values accepted before.
	IgnoreAccepted bool
	// DropPreviousAtOnce is a deliberate defect of the membership change: the old set is
	// dropped in the same step in which the new one is proposed.
	DropPreviousAtOnce bool
}

// process is one machine: an acceptor and, on some machines, a proposer.
type process struct {
	name string
	// disk is the identity of the machine's disk.
	disk string
	// first is the first acceptor set; empty on a machine outside it, or whose disk was lost.
	first []messages.Member
	// promised, accepted and value are the acceptor's record. value is none if nothing was
	// accepted.
	promised, accepted messages.Ballot
	value              valueID
	// known is the newest value that the process has received. Only its sets are used.
	known    valueID
	proposer *proposer
}

// proposer runs the proposals of one machine, one attempt after the other.
type proposer struct {
	// version is the version that a writer proposes. A version without a generation marks a
	// reconciler.
	version     messages.Version
	attempts    int
	incarnation int64
	// ballot, known and responses identify the current attempt, which is replayed from its
	// beginning whenever its state is needed. ended reports whether it has ended.
	ballot    messages.Ballot
	known     valueID
	responses []response
	ended     bool
	// accepting reports whether the attempt has begun its accept phase.
	accepting bool
	// responded reports whether the outcome of the version is known. versions counts the
	// earlier versions whose outcome is known.
	responded bool
	versions  int
}

// response is one message returned to a proposer.
type response struct {
	member   messages.Member
	promise  *messages.PrepareResponse
	accepted *messages.AcceptResponse
	// key identifies the response within the attempt.
	key string
}

// request is a message that is in flight to an acceptor.
type request struct {
	from   int
	ballot messages.Ballot
	member messages.Member
	// value is the value of an accept request, and none for a prepare request.
	value valueID
}

// none is the valueID of no value.
const none valueID = -1

// vote is the state of one ballot: its value and the acceptors that accepted it. The list of
// acceptors is dropped once they have chosen the value.
type vote struct {
	ballot messages.Ballot
	value  valueID
	voters []messages.Member
	chosen bool
}

// registerState is a state of the register's model.
type registerState struct {
	plan      *Plan
	table     *valueTable
	processes []process
	requests  []request
	votes     []vote
	// wipes, restarts and duplicates are the numbers still available.
	wipes, restarts, duplicates int
	violation                   error
}

// NewRegisterState returns the initial state of a plan's model.
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
	panic("unknown machine: " + name)
}

// clone copies what steps change, except proposers: a step that changes a proposer copies it.
func (f *registerState) clone() *registerState {
	next := *f
	next.processes = append([]process(nil), f.processes...)
	next.requests = append([]request(nil), f.requests...)
	next.votes = append([]vote(nil), f.votes...)
	return &next
}

// member returns a process as a member of an acceptor set.
func (p *process) member() messages.Member {
	return messages.Member{Name: p.name, Address: p.name, Disk: p.disk}
}

// acceptor returns a register.Acceptor with the process's record.
func (f *registerState) acceptor(i int) *register.Acceptor {
	proc := &f.processes[i]
	record := messages.AcceptorRecord{Disk: proc.disk, First: proc.first, Promised: proc.promised, Accepted: proc.accepted}
	if proc.value != none {
		record.HasValue, record.Value = true, *f.table.value(proc.value)
	}
	return register.NewAcceptor(record)
}

// storeRecord stores the record that the acceptor must have on disk.
func (f *registerState) storeRecord(i int, acceptor *register.Acceptor) {
	proc, record := &f.processes[i], acceptor.Record()
	proc.promised, proc.accepted = record.Promised, record.Accepted
	if record.HasValue {
		proc.value = f.table.id(&record.Value)
	}
}

// learnSets updates the sets that a process knows from a value that it received.
func (f *registerState) learnSets(i int, value *messages.RegisterValue) {
	known := f.table.value(f.processes[i].known)
	if len(value.Acceptors) > 0 && (value.SetEpoch >= known.SetEpoch || len(known.Acceptors) == 0) {
		sets := setsOnly(value)
		f.processes[i].known = f.table.id(&sets)
	}
}
