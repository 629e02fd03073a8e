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
	promise  *messages.Promise
	accepted *messages.Accepted
}

// send takes one message of a proposal to its member.
func (r *Register) send(message register.Send, responses chan<- response) {
	answer := response{member: message.Member}
	local := message.Member.Address == r.Runtime.Own.Address
	var err error
	switch {
	case message.Prepare != nil && local:
		promise, problem := r.Prepare(message.Prepare)
		answer.promise, err = &promise, problem
	case message.Prepare != nil:
		answer.promise = &messages.Promise{}
		kind, question := r.prepare(message.Prepare)
		err = transport.Ask(r.Runtime.Wire, message.Member.Address, kind, question, answer.promise, constants.RoundTime)
	case local:
		accepted, problem := r.Accept(message.Accept)
		answer.accepted, err = &accepted, problem
	default:
		answer.accepted = &messages.Accepted{}
		kind, question := r.accept(message.Accept)
		err = transport.Ask(r.Runtime.Wire, message.Member.Address, kind, question, answer.accepted, constants.RoundTime)
	}
	if err == nil {
		responses <- answer
	}
}

// Change runs a change until it is in force or its outcome can't be known.
func (r *Register) Change(change register.Change) (messages.Register, error) {
	end := clock.Now().Plus(constants.RegisterTime)
	timer := clock.NewTimer(constants.RegisterTime)
	defer timer.Stop()
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-timer.C:
		return messages.Register{}, register.NoMajority.New("earlier changes took too long")
	}
	unclear, preempted := false, false
	known := r.Known()
	took := clock.Span(0)
	for lost := 0; clock.Now() < end; {
		if lost > 0 {
			clock.Sleep(register.Backoff(lost, took, clock.Draw()))
		}
		if preempted {
			// Whoever won may have settled the question: a look needs no ballot, so
			// that it disturbs nobody.
			if value, settled := r.look(change); settled {
				return value, nil
			}
		}
		begun := clock.Now()
		proposal := r.attempt(known, change, end)
		took = clock.Now().Since(begun)
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
		return messages.Register{}, register.Unclear.New("no second majority in time")
	}
	return messages.Register{}, register.NoMajority.New("no first majority in time")
}

// look asks whether the change would leave the value in force as it is.
func (r *Register) look(change register.Change) (messages.Register, bool) {
	value := r.quickRead(false)
	if value == nil {
		return messages.Register{}, false
	}
	_, verdict := change(*value)
	return *value, verdict == register.VerdictKeep
}

// attempt takes one proposal through its rounds.
func (r *Register) attempt(known messages.Register, change register.Change, end clock.Moment) *register.Proposal {
	r.lock.Lock()
	r.counter++
	own := r.Runtime.Own
	ballot := register.NewBallot(r.counter, own.Name, own.Disk, own.Life)
	r.lock.Unlock()
	proposal, sends := register.Begin(ballot, known, change)
	responses := make(chan response, 4*(len(sends)+2))
	dispatch := func(list []register.Send) {
		for _, message := range list {
			go r.send(message, responses)
		}
	}
	dispatch(sends)
	timer := clock.NewTimer(min(2*constants.RoundTime, end.Since(clock.Now())))
	defer timer.Stop()
	for proposal.Stage() != register.StageDone && proposal.Stage() != register.StageLost {
		select {
		case one := <-responses:
			if one.promise != nil {
				dispatch(proposal.Promised(one.member, *one.promise))
			} else {
				proposal.Taken(one.member, *one.accepted)
			}
		case <-timer.C:
			return proposal
		}
	}
	return proposal
}
