package linearize

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// JobKind is the kind of a JobCallRequest.
type JobKind int

// The kinds of calls for lots.
const (
	// JobSubmit hands a lot in. Each sending is an operation of its own: one that was
	// refused may be sent again and be taken.
	JobSubmit JobKind = iota
	// JobRead reads results from a position on.
	JobRead
	// JobEnd ends a lot.
	JobEnd
)

// JobCall is a client's call for one lot.
type JobCall struct {
	Kind JobKind
	Lot  string
	// From is the position a read begins at.
	From int
}

// JobOutcome is the kind of answer to a JobCallRequest.
type JobOutcome int

// The outcomes.
const (
	// JobUnclear: no answer, or one that says nothing.
	JobUnclear JobOutcome = iota
	// JobDone: handed in, read or ended.
	JobDone
	// JobRejected: a hand-in of which nothing runs.
	JobRejected
	// JobMissing: there is no such lot.
	JobMissing
)

// JobReply is the answer to a JobCallRequest.
type JobReply struct {
	Outcome JobOutcome
	// Results are what a read told, from its position on, each as one text that names
	// item, phase and content.
	Results []string
}

// Unclear says that nothing is known of the outcome.
func (l JobReply) Unclear() bool { return l.Outcome == JobUnclear }

// jobState is the state of one sequential lot.
type jobState struct {
	accepted bool
	// results holds the results that callers were told, by position; those that were
	// listed and that nobody read are empty.
	results string
}

// resultEnd ends each result in a jobState; no text holds it.
const resultEnd = "\x00"

func (l jobState) list() []string {
	list := strings.Split(l.results, resultEnd)
	return list[:len(list)-1]
}

// JobsModel is the sequential model of lots: a lot is there from the moment it was
// taken, each position gets one result for good, in order, and whoever reads meets all
// that anybody was told before.
func JobsModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: byJob,
		Init:      func() []any { return []any{jobState{}} },
		Step: func(state, input, output any) []any {
			return stepJob(state.(jobState), input.(JobCall), output.(JobReply))
		},
		DescribeOperation: func(input, output any) string {
			call, reply := input.(JobCall), output.(JobReply)
			return fmt.Sprintf("lot %s, call %d from %d: outcome %d %q", call.Lot, call.Kind, call.From, reply.Outcome, reply.Results)
		},
	}
	return model.ToModel()
}

func byJob(history []porcupine.Operation) [][]porcupine.Operation {
	var names []string
	jobs := map[string][]porcupine.Operation{}
	for _, operation := range history {
		name := operation.Input.(JobCall).Lot
		if jobs[name] == nil {
			names = append(names, name)
		}
		jobs[name] = append(jobs[name], operation)
	}
	var parts [][]porcupine.Operation
	for _, name := range names {
		parts = append(parts, jobs[name])
	}
	return parts
}

func stepJob(state jobState, call JobCall, reply JobReply) []any {
	next := state
	next.accepted = true
	switch {
	case reply.Unclear() && call.Kind == JobSubmit:
		return []any{state, next}
	case reply.Unclear():
		return []any{state}
	case reply.Outcome == JobMissing || reply.Outcome == JobRejected:
		return stateIf(state, !state.accepted)
	case call.Kind == JobSubmit:
		return []any{next}
	case call.Kind == JobEnd:
		return stateIf(state, state.accepted)
	default:
		read, allowed := state.read(call.From, reply.Results)
		return stateIf(read, state.accepted && allowed)
	}
}

func stateIf(state jobState, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// read gives the state after a read that told these results.
func (l jobState) read(from int, results []string) (jobState, bool) {
	known := l.list()
	if len(results) == 0 {
		// At least one is told where one exists.
		return l, len(known) <= from
	}
	for i, text := range results {
		position := from + i
		known = append(known, make([]string, max(0, position+1-len(known)))...)
		if known[position] != "" && known[position] != text {
			return l, false
		}
		known[position] = text
	}
	if slices.Contains(results, "") {
		return l, false
	}
	l.results = strings.Join(known, resultEnd) + resultEnd
	return l, true
}
