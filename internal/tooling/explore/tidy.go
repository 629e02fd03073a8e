package explore

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// tidy drops messages that can change nothing any more: whoever would refuse them
// now refuses them for ever.
func (one *fleet) tidy() {
	kept := one.requests[:0]
	for index := range one.requests {
		message := &one.requests[index]
		at := &one.processes[one.at(message.member.Name)]
		refused := register.Less(message.ballot, at.promised) || (at.disk != message.member.Disk && !one.plan.KeepIdentity)
		if (message.value == none && one.waits(message)) || (message.value != none && !refused) {
			kept = append(kept, *message)
		}
	}
	one.requests = kept
	one.votes = slices.DeleteFunc(one.votes, func(cast vote) bool { return !cast.chosen && !one.mayBeChosen(cast.ballot) })
}

// mayBeChosen tells whether accepts of a ballot are under way or can still be sent.
func (one *fleet) mayBeChosen(ballot messages.Ballot) bool {
	for index := range one.requests {
		if one.requests[index].ballot == ballot {
			return true
		}
	}
	return false
}
