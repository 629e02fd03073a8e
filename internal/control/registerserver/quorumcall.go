package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// memberResult is the result of a call to one member.
type memberResult[Response any] struct {
	member   messages.Member
	response Response
	err      error
}

// QuorumCall calls every member of a value's sets concurrently and passes each response to handle,
// which reports whether it counts. QuorumCall returns true as soon as the members whose responses
// count form a quorum, and false if they do not once every call has returned or the timeout has
// passed.
//
// call returns the member that responded, because a response counts for the disk that it names.
// With a timeout of zero, QuorumCall sets no limit of its own, so each call must return. Calls in
// flight when QuorumCall returns are not canceled.
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
