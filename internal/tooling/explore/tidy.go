package explore

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// tidy drops messages that can change nothing any more: whoever would refuse them
// now refuses them for ever.
func (f *fleet) tidy() {
	retained := f.requests[:0]
	for index := range f.requests {
		message := &f.requests[index]
		at := &f.processes[f.at(message.member.Name)]
		refused := register.Less(message.ballot, at.promised) || (at.disk != message.member.Disk && !f.plan.KeepIdentity)
		if (message.value == none && f.waits(message)) || (message.value != none && !refused) {
			retained = append(retained, *message)
		}
	}
	f.requests = retained
	f.votes = slices.DeleteFunc(f.votes, func(cast vote) bool { return !cast.chosen && !f.mayBeChosen(cast.ballot) })
}

// mayBeChosen tells whether accepts of a ballot are under way or can still be sent.
func (f *fleet) mayBeChosen(ballot messages.Ballot) bool {
	for index := range f.requests {
		if f.requests[index].ballot == ballot {
			return true
		}
	}
	return false
}
