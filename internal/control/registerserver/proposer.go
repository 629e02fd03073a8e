package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// memberResponse is one answer to a message of a proposal.
type memberResponse struct {
	member   messages.Member
	promise  *messages.PrepareResponse
	accepted *messages.AcceptResponse
}

// send takes one message of a proposal to its member.
func (r *Replica) send(message register.Send, responses chan<- memberResponse) {
	resp := memberResponse{member: message.Member}
	local := message.Member.Address == r.Node.Self.Address
	var err error
	switch {
	case message.Prepare != nil && local:
		promise, cause := r.Prepare(message.Prepare)
		resp.promise, err = &promise, cause
	case message.Prepare != nil:
		resp.promise = &messages.PrepareResponse{}
		kind, req := r.prepareMessage(message.Prepare)
		err = transport.Call(r.Node.Transport, message.Member.Address, kind, req, resp.promise, constants.RoundTimeout)
	case local:
		accepted, cause := r.Accept(message.Accept)
		resp.accepted, err = &accepted, cause
	default:
		resp.accepted = &messages.AcceptResponse{}
		kind, req := r.acceptMessage(message.Accept)
		err = transport.Call(r.Node.Transport, message.Member.Address, kind, req, resp.accepted, constants.RoundTimeout)
	}
	if err == nil {
		responses <- resp
	}
}

// Change runs a change until it is in force or its outcome can't be known.
func (r *Replica) Change(change register.Change) (messages.RegisterValue, error) {
	end := clock.Now().Add(constants.RegisterTimeout)
	timer := clock.NewTimer(constants.RegisterTimeout)
	defer timer.Stop()
	select {
	case r.proposing <- struct{}{}:
		defer func() { <-r.proposing }()
	case <-timer.C:
		return messages.RegisterValue{}, register.ErrNoQuorum.New("earlier changes took too long")
	}
	outcomeUnknown, preempted := false, false
	known := r.Known()
	took := clock.Duration(0)
	for lost := 0; clock.Now() < end; {
		if lost > 0 {
			clock.Sleep(register.Backoff(lost, took, clock.Float64()))
		}
		if preempted {
			// Whoever won may have settled the request: a read needs no ballot, so
			// that it disturbs nobody.
			if value, decided := r.unchangedBy(change); decided {
				return value, nil
			}
		}
		start := clock.Now()
		proposal := r.attempt(known, change, end)
		took = clock.Now().Sub(start)
		if proposal.Stage() == register.StageDone {
			r.observeChosen(proposal.Value())
			known = proposal.Value()
			if proposal.FinishedOther() {
				continue
			}
			return proposal.Value(), nil
		}
		lost++
		preempted = proposal.Stage() == register.StageLost
		outcomeUnknown = outcomeUnknown || proposal.AcceptSent()
		r.lock.Lock()
		r.counter = max(r.counter, proposal.Highest().Counter)
		r.lock.Unlock()
		if newer := proposal.Newer(); newer != nil {
			// Perhaps never chosen: good for the next attempt only.
			known = *newer
		}
	}
	if outcomeUnknown {
		return messages.RegisterValue{}, register.ErrOutcomeUnknown.New("no second majority in time")
	}
	return messages.RegisterValue{}, register.ErrNoQuorum.New("no first majority in time")
}

// unchangedBy asks whether the change would leave the value in force as it is.
func (r *Replica) unchangedBy(change register.Change) (messages.RegisterValue, bool) {
	value := r.quickRead(false)
	if value == nil {
		return messages.RegisterValue{}, false
	}
	_, verdict := change(*value)
	return *value, verdict == register.VerdictUnchanged
}

// attempt takes one proposal through its rounds.
func (r *Replica) attempt(known messages.RegisterValue, change register.Change, end clock.Instant) *register.Proposal {
	r.lock.Lock()
	r.counter++
	own := r.Node.Self
	ballot := register.NewBallot(r.counter, own.Name, own.Disk, own.Incarnation)
	r.lock.Unlock()
	proposal, sends := register.NewProposal(ballot, known, change)
	responses := make(chan memberResponse, 4*(len(sends)+2))
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
				dispatch(proposal.HandlePrepareResponse(re.member, *re.promise))
			} else {
				proposal.HandleAcceptResponse(re.member, *re.accepted)
			}
		case <-timer.C:
			return proposal
		}
	}
	return proposal
}
