package explore

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// tidy drops messages that can change nothing any more: whoever would refuse them
// now refuses them for ever.
func (f *registerState) dropObsolete() {
	retained := f.requests[:0]
	for index := range f.requests {
		message := &f.requests[index]
		target := &f.processes[f.indexOf(message.member.Name)]
		refused := register.Less(message.ballot, target.promised) || (target.disk != message.member.Disk && !f.plan.KeepIdentity)
		if (message.value == none && f.awaitsResponse(message)) || (message.value != none && !refused) {
			retained = append(retained, *message)
		}
	}
	f.requests = retained
	f.votes = slices.DeleteFunc(f.votes, func(cast vote) bool { return !cast.chosen && !f.mayBeChosen(cast.ballot) })
}

// mayBeChosen tells whether accepts of a ballot are under way or can still be sent.
func (f *registerState) mayBeChosen(ballot messages.Ballot) bool {
	for index := range f.requests {
		if f.requests[index].ballot == ballot {
			return true
		}
	}
	return false
}
