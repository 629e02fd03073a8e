package explore

import (
	"slices"
	"strconv"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Key encodes the state. The responses of an attempt are encoded as a set, and so are the
// requests in flight: their order has no effect.
func (f *registerState) Key() []byte {
	text := make([]byte, 0, 512)
	for i := range f.processes {
		text = f.processes[i].appendKey(text)
	}
	keys := make([]string, 0, len(f.requests))
	for index := range f.requests {
		message := &f.requests[index]
		line := appendBallot(make([]byte, 0, 40), message.ballot)
		line = append(append(line, message.member.Name...), message.member.Disk...)
		keys = append(keys, string(appendNumber(line, int64(message.value))))
	}
	text = appendSet(text, keys)
	for index := range f.votes {
		text = appendBallot(text, f.votes[index].ballot)
		text = appendNumber(text, int64(f.votes[index].value))
		text = strconv.AppendBool(text, f.votes[index].chosen)
		names := make([]string, 0, len(f.votes[index].voters))
		for _, member := range f.votes[index].voters {
			names = append(names, register.Identity(member))
		}
		text = appendSet(text, names)
	}
	for _, left := range []int{f.wipes, f.restarts, f.duplicates} {
		text = appendNumber(text, int64(left))
	}
	return text
}

func (p *process) appendKey(text []byte) []byte {
	text = append(text, p.disk...)
	text = appendBallot(text, p.promised)
	text = appendBallot(text, p.accepted)
	text = appendNumber(text, int64(p.value))
	text = appendNumber(text, int64(p.known))
	run := p.proposer
	if run == nil {
		return text
	}
	text = appendNumber(text, int64(run.attempts))
	text = appendNumber(text, run.incarnation)
	text = strconv.AppendBool(strconv.AppendBool(strconv.AppendBool(text, run.ended), run.accepting), run.responded)
	text = appendNumber(text, run.version.Generation)
	text = appendNumber(text, run.version.Base)
	text = appendNumber(text, int64(run.versions))
	text = appendBallot(text, run.ballot)
	text = appendNumber(text, int64(run.known))
	keys := make([]string, 0, len(run.responses))
	for index := range run.responses {
		keys = append(keys, run.responses[index].key)
	}
	return appendSet(text, keys)
}

func appendNumber(text []byte, number int64) []byte {
	return append(strconv.AppendInt(text, number, 10), ' ')
}

func appendBallot(text []byte, ballot messages.Ballot) []byte {
	text = strconv.AppendUint(text, ballot.Counter, 10)
	return append(append(append(text, ':'), ballot.Node...), ' ')
}

// appendSet appends names in sorted order, so that sets with the same members have the same
// encoding.
func appendSet(text []byte, names []string) []byte {
	slices.Sort(names)
	for _, name := range names {
		text = append(append(text, name...), ';')
	}
	return append(text, '|')
}
