package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// memberResult is what a call to one member brought.
type memberResult[Response any] struct {
	member   messages.Member
	response Response
	err      error
}

// QuorumCall makes a call to every member of a value's sets at the same time, and hands
// each response to handle, which says whether it counts. It reports whether the members
// that counted make a quorum, as soon as they do.
//
// call gives the member that responded, since a response counts for the disk that gave it.
// A timeout of zero waits for every call to return; calls under way when QuorumCall returns
// end by themselves.
func QuorumCall[Response any](sets *messages.RegisterValue, timeout clock.Duration,
	call func(member messages.Member) (messages.Member, Response, error), handle func(response Response) (counts bool)) bool {
	members := register.Targets(sets)
	results := make(chan memberResult[Response], len(members))
	for _, member := range members {
		go func() {
			responder, response, err := call(member)
			results <- memberResult[Response]{responder, response, err}
		}()
	}
	var expired <-chan clock.Time
	if timeout > 0 {
		timer := clock.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	responded := map[string]bool{}
	for range members {
		select {
		case result := <-results:
			if result.err != nil || !handle(result.response) {
				continue
			}
			responded[register.Identity(result.member)] = true
		case <-expired:
			return false
		}
		if register.Quorum(sets, responded) {
			return true
		}
	}
	return false
}
