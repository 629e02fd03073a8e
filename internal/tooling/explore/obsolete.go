package explore

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// dropObsolete drops messages and votes that can no longer have any effect: accept requests that
// their acceptor would reject, since it would reject them at any later time too; prepare requests
// whose sender no longer waits for the response, since they could only make an acceptor reject
// more; and the votes for a value that was not chosen and can't be any more.
func (f *registerState) dropObsolete() {
	retained := f.requests[:0]
	for index := range f.requests {
		message := &f.requests[index]
		target := &f.processes[f.indexOf(message.member.Name)]
		rejected := register.Less(message.ballot, target.promised) || (target.disk != message.member.Disk && !f.plan.KeepIdentity)
		if (message.value == none && f.awaitsResponse(message)) || (message.value != none && !rejected) {
			retained = append(retained, *message)
		}
	}
	f.requests = retained
	f.votes = slices.DeleteFunc(f.votes, func(cast vote) bool { return !cast.chosen && !f.mayBeChosen(cast.ballot) })
}

// mayBeChosen reports whether accept requests of a ballot are in flight or can still be sent.
func (f *registerState) mayBeChosen(ballot messages.Ballot) bool {
	for index := range f.requests {
		if f.requests[index].ballot == ballot {
			return true
		}
	}
	return false
}
