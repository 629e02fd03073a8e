package quorum

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// response is one answer to a message of a proposal.
type response struct {
	member   messages.Member
	promise  *messages.PrepareResponse
	accepted *messages.AcceptResponse
}

// send takes one message of a proposal to its member.
func (r *Register) send(message register.Send, responses chan<- response) {
	resp := response{member: message.Member}
	local := message.Member.Address == r.Runtime.Self.Address
	var err error
	switch {
	case message.Prepare != nil && local:
		promise, cause := r.Prepare(message.Prepare)
		resp.promise, err = &promise, cause
	case message.Prepare != nil:
		resp.promise = &messages.PrepareResponse{}
		kind, req := r.prepare(message.Prepare)
		err = transport.Call(r.Runtime.Transport, message.Member.Address, kind, req, resp.promise, constants.RoundTimeout)
	case local:
		accepted, cause := r.Accept(message.Accept)
		resp.accepted, err = &accepted, cause
	default:
		resp.accepted = &messages.AcceptResponse{}
		kind, req := r.accept(message.Accept)
		err = transport.Call(r.Runtime.Transport, message.Member.Address, kind, req, resp.accepted, constants.RoundTimeout)
	}
	if err == nil {
		responses <- resp
	}
}

// Change runs a change until it is in force or its outcome can't be known.
func (r *Register) Change(change register.Change) (messages.RegisterValue, error) {
	end := clock.Now().Add(constants.RegisterTimeout)
	timer := clock.NewTimer(constants.RegisterTimeout)
	defer timer.Stop()
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-timer.C:
		return messages.RegisterValue{}, register.ErrNoQuorum.New("earlier changes took too long")
	}
	unclear, preempted := false, false
	known := r.Known()
	took := clock.Duration(0)
	for lost := 0; clock.Now() < end; {
		if lost > 0 {
			clock.Sleep(register.Backoff(lost, took, clock.Float64()))
		}
		if preempted {
			// Whoever won may have settled the question: a look needs no ballot, so
			// that it disturbs nobody.
			if value, settled := r.look(change); settled {
				return value, nil
			}
		}
		start := clock.Now()
		proposal := r.attempt(known, change, end)
		took = clock.Now().Sub(start)
		if proposal.Stage() == register.StageDone {
			r.learnChosen(proposal.Value())
			known = proposal.Value()
			if proposal.Unfinished() {
				continue
			}
			return proposal.Value(), nil
		}
		lost++
		preempted = proposal.Stage() == register.StageLost
		unclear = unclear || proposal.Sent()
		r.lock.Lock()
		r.counter = max(r.counter, proposal.Highest().Counter)
		r.lock.Unlock()
		if newer := proposal.Newer(); newer != nil {
			// Perhaps never chosen: good for the next attempt only.
			known = *newer
		}
	}
	if unclear {
		return messages.RegisterValue{}, register.ErrOutcomeUnknown.New("no second majority in time")
	}
	return messages.RegisterValue{}, register.ErrNoQuorum.New("no first majority in time")
}

// look asks whether the change would leave the value in force as it is.
func (r *Register) look(change register.Change) (messages.RegisterValue, bool) {
	value := r.quickRead(false)
	if value == nil {
		return messages.RegisterValue{}, false
	}
	_, verdict := change(*value)
	return *value, verdict == register.VerdictKeep
}

// attempt takes one proposal through its rounds.
func (r *Register) attempt(known messages.RegisterValue, change register.Change, end clock.Instant) *register.Proposal {
	r.lock.Lock()
	r.counter++
	own := r.Runtime.Self
	ballot := register.NewBallot(r.counter, own.Name, own.Disk, own.Incarnation)
	r.lock.Unlock()
	proposal, sends := register.Begin(ballot, known, change)
	responses := make(chan response, 4*(len(sends)+2))
	dispatch := func(list []register.Send) {
		for _, message := range list {
			go r.send(message, responses)
		}
	}
	dispatch(sends)
	timer := clock.NewTimer(min(2*constants.RoundTimeout, end.Sub(clock.Now())))
	defer timer.Stop()
	for proposal.Stage() != register.StageDone && proposal.Stage() != register.StageLost {
		select {
		case re := <-responses:
			if re.promise != nil {
				dispatch(proposal.Promised(re.member, *re.promise))
			} else {
				proposal.Taken(re.member, *re.accepted)
			}
		case <-timer.C:
			return proposal
		}
	}
	return proposal
}
