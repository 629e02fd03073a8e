package linearize

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// JobKind is the kind of a JobCall.
type JobKind int

// The kinds of calls for batch jobs.
const (
	// JobSubmit submits a batch job. Each time it is sent counts as an operation of its own, since
	// a job that was rejected may be sent again and then be accepted.
	JobSubmit JobKind = iota
	// JobRead reads the results from a position on.
	JobRead
	// JobEnd ends a batch job.
	JobEnd
)

// JobCall is a client's call for one batch job.
type JobCall struct {
	Kind JobKind
	// Job is the id of the job.
	Job string
	// From is the position at which a read begins.
	From int
}

// JobOutcome is the kind of response to a JobCall.
type JobOutcome int

// The outcomes of a JobCall.
const (
	// JobUnclear means that there was no response, or one that does not state the outcome.
	JobUnclear JobOutcome = iota
	// JobDone means that the job was submitted, read or ended.
	JobDone
	// JobRejected means that a submission was rejected and nothing of the job runs.
	JobRejected
	// JobMissing means that there is no such job.
	JobMissing
)

// JobReply is the response to a JobCall.
type JobReply struct {
	Outcome JobOutcome
	// Results are the results that a read returned, from its position on. Each is one text that
	// contains item, phase and content.
	Results []string
}

// Unclear reports whether nothing is known of the outcome.
func (l JobReply) Unclear() bool { return l.Outcome == JobUnclear }

// jobState is the state of one batch job in the sequential model.
type jobState struct {
	accepted bool
	// results contains the results returned to clients, by position. A position before a returned
	// result is empty if no client has read it.
	results string
}

// resultEnd terminates each result in a jobState. No result contains it.
const resultEnd = "\x00"

func (l jobState) list() []string {
	list := strings.Split(l.results, resultEnd)
	return list[:len(list)-1]
}

// JobsModel returns the sequential model of batch jobs: a job exists from the moment it is
// accepted, each position receives one final result, in order, and a read returns at least all
// results that were returned to any client before.
func JobsModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: byJob,
		Init:      func() []any { return []any{jobState{}} },
		Step: func(state, input, output any) []any {
			return stepJob(state.(jobState), input.(JobCall), output.(JobReply))
		},
		DescribeOperation: func(input, output any) string {
			call, reply := input.(JobCall), output.(JobReply)
			return fmt.Sprintf("job %s, call %d from %d: outcome %d %q", call.Job, call.Kind, call.From, reply.Outcome, reply.Results)
		},
	}
	return model.ToModel()
}

func byJob(history []porcupine.Operation) [][]porcupine.Operation {
	var names []string
	jobs := map[string][]porcupine.Operation{}
	for _, operation := range history {
		name := operation.Input.(JobCall).Job
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

// read returns the state after a read that returned these results, and whether they are
// consistent with the state before.
func (l jobState) read(from int, results []string) (jobState, bool) {
	known := l.list()
	if len(results) == 0 {
		// A read must return at least one result if one exists.
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
