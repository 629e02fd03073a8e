package linearize

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// LotKind is the kind of a JobCallRequest.
type LotKind int

// The kinds of calls for lots.
const (
	// LotHandIn hands a lot in. Each sending is an operation of its own: one that was
	// refused may be sent again and be taken.
	LotHandIn LotKind = iota
	// LotRead reads results from a position on.
	LotRead
	// LotEnd ends a lot.
	LotEnd
)

// LotCall is a client's call for one lot.
type LotCall struct {
	Kind LotKind
	Lot  string
	// From is the position a read begins at.
	From int
}

// LotOutcome is the kind of answer to a JobCallRequest.
type LotOutcome int

// The outcomes.
const (
	// LotUnclear: no answer, or one that says nothing.
	LotUnclear LotOutcome = iota
	// LotDone: handed in, read or ended.
	LotDone
	// LotRefused: a hand-in of which nothing runs.
	LotRefused
	// LotMissing: there is no such lot.
	LotMissing
)

// LotReply is the answer to a JobCallRequest.
type LotReply struct {
	Outcome LotOutcome
	// Results are what a read told, from its position on, each as one text that names
	// item, phase and content.
	Results []string
}

// Unclear says that nothing is known of the outcome.
func (l LotReply) Unclear() bool { return l.Outcome == LotUnclear }

// lotState is the state of one sequential lot.
type lotState struct {
	taken bool
	// results holds the results that callers were told, by position; those that were
	// listed and that nobody read are empty.
	results string
}

// resultEnd ends each result in a lotState; no text holds it.
const resultEnd = "\x00"

func (l lotState) list() []string {
	list := strings.Split(l.results, resultEnd)
	return list[:len(list)-1]
}

// LotsModel is the sequential model of lots: a lot is there from the moment it was
// taken, each position gets one result for good, in order, and whoever reads meets all
// that anybody was told before.
func LotsModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: byLot,
		Init:      func() []any { return []any{lotState{}} },
		Step: func(state, input, output any) []any {
			return stepLot(state.(lotState), input.(LotCall), output.(LotReply))
		},
		DescribeOperation: func(input, output any) string {
			call, reply := input.(LotCall), output.(LotReply)
			return fmt.Sprintf("lot %s, call %d from %d: outcome %d %q", call.Lot, call.Kind, call.From, reply.Outcome, reply.Results)
		},
	}
	return model.ToModel()
}

func byLot(history []porcupine.Operation) [][]porcupine.Operation {
	var names []string
	lots := map[string][]porcupine.Operation{}
	for _, operation := range history {
		name := operation.Input.(LotCall).Lot
		if lots[name] == nil {
			names = append(names, name)
		}
		lots[name] = append(lots[name], operation)
	}
	var parts [][]porcupine.Operation
	for _, name := range names {
		parts = append(parts, lots[name])
	}
	return parts
}

func stepLot(state lotState, call LotCall, reply LotReply) []any {
	next := state
	next.taken = true
	switch {
	case reply.Unclear() && call.Kind == LotHandIn:
		return []any{state, next}
	case reply.Unclear():
		return []any{state}
	case reply.Outcome == LotMissing || reply.Outcome == LotRefused:
		return only(state, !state.taken)
	case call.Kind == LotHandIn:
		return []any{next}
	case call.Kind == LotEnd:
		return only(state, state.taken)
	default:
		read, fits := state.read(call.From, reply.Results)
		return only(read, state.taken && fits)
	}
}

func only(state lotState, legal bool) []any {
	if !legal {
		return nil
	}
	return []any{state}
}

// read gives the state after a read that told these results.
func (l lotState) read(from int, results []string) (lotState, bool) {
	known := l.list()
	if len(results) == 0 {
		// At least one is told where one exists.
		return l, len(known) <= from
	}
	for place, text := range results {
		position := from + place
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
