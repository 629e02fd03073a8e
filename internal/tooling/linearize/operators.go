package linearize

import (
	"fmt"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

const (
	// operators is the number of operators that call concurrently.
	operators = 4
	// resendMs is how long an operator waits before it sends a call again, to another machine.
	// sendsMax is how often it sends a call before it gives up.
	resendMs = 700
	sendsMax = 3
)

// runOperator runs one operator: it reads and proposes versions based on the version that it
// last learned of. Occasionally it uses the bytes of another operator, an outdated base, or a
// generation that was already used.
func (f *Fleet) runOperator(number int, stopAt clock.Instant) {
	var base int64
	var last messages.Version
	var next func()
	next = func() {
		if f.world.Now > stopAt {
			return
		}
		call := RegisterCall{}
		if f.world.Random.Intn(3) > 0 {
			call.Version = f.version(number, base, last)
			last = call.Version
		}
		f.call(number, call, func(reply RegisterReply) {
			if reply.Outcome == RegisterRead {
				base = reply.Found.Generation
			}
			if reply.Outcome == RegisterApplied {
				base = max(base, call.Version.Generation)
			}
			f.afterRandom(10, 900, next)
		})
	}
	f.afterRandom(0, 500, next)
}

func (f *Fleet) version(number int, base int64, last messages.Version) messages.Version {
	if last.Generation > 0 && f.world.Random.Intn(5) == 0 {
		// Send the same bytes again although the call may already have had its response.
		return last
	}
	version := messages.Version{Base: base, Hash: fmt.Sprint("operator", number)}
	if f.highestGeneration <= base || f.world.Random.Intn(4) > 0 {
		f.highestGeneration = max(f.highestGeneration, base) + 1
	}
	version.Generation = f.highestGeneration
	if f.world.Random.Intn(4) == 0 {
		// Let two operators propose the same bytes.
		version.Hash = "shared"
	}
	return version
}

// call sends a call until it has a clear response or the operator gives up.
func (f *Fleet) call(number int, call RegisterCall, done func(reply RegisterReply)) {
	operation := f.History.Begin(number, call, RegisterReply{}, int64(f.world.Now))
	finished := false
	finish := func(reply RegisterReply) {
		if finished {
			return
		}
		finished = true
		operation.End(reply, int64(f.world.Now))
		done(reply)
	}
	var send func(left int)
	send = func(left int) {
		if finished {
			return
		}
		if left == 0 {
			finish(RegisterReply{})
			return
		}
		node, own := f.any(), fmt.Sprint("operator", number)
		f.world.Send(own, node.name, func() {
			f.serve(node, call, func(reply RegisterReply) {
				f.world.Send(node.name, own, func() {
					if !reply.Unclear() {
						finish(reply)
					}
				})
			})
		})
		f.world.After(clock.Milliseconds(resendMs), func() { send(left - 1) })
	}
	send(sendsMax)
}

// serve handles a call at a controller machine. It calls respond at most once: not at all if the read or
// proposal does not succeed, or if the process crashes.
func (f *Fleet) serve(node *controller, call RegisterCall, respond func(reply RegisterReply)) {
	if call.Version.Generation == 0 {
		f.read(node, func(value *messages.RegisterValue) {
			if value != nil {
				respond(RegisterReply{Outcome: RegisterRead, Found: value.Current})
			}
		})
		return
	}
	var result register.Result
	change := register.Replace(call.Version, []byte(call.Version.Hash), &result)
	if f.defects.RejectResent {
		change = rejectResent(change, call.Version, &result)
	}
	f.propose(node, change, attempts, func(value *messages.RegisterValue) {
		if value != nil {
			respond(RegisterReply{Outcome: outcome(result)})
		}
	})
}

func outcome(result register.Result) RegisterOutcome {
	switch result {
	case register.ResultApplied, register.ResultAlreadyApplied:
		return RegisterApplied
	case register.ResultConflict:
		return RegisterConflict
	case register.ResultGenerationTooOld:
		return RegisterGenerationTooOld
	default:
		return RegisterUnclear
	}
}

// rejectResent wraps a change with the defect Defects.RejectResent.
func rejectResent(change register.Change, version messages.Version, result *register.Result) register.Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, register.Verdict) {
		next, verdict := change(current)
		if *result == register.ResultAlreadyApplied && current.Current.Generation != version.Base {
			*result = register.ResultConflict
		}
		return next, verdict
	}
}
