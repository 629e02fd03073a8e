package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// memberResponse is the response of a member to a message of a proposal.
type memberResponse struct {
	member   messages.Member
	promise  *messages.PrepareResponse
	accepted *messages.AcceptResponse
}

// send delivers a message of a proposal to its member and passes on the response. It passes on
// nothing if the call fails.
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

// Change proposes a change until it is in force, or constants.RegisterTimeout has passed. The error
// is register.ErrOutcomeUnknown if a second round was started by then, and register.ErrNoQuorum
// otherwise.
func (r *Replica) Change(change register.Change) (messages.RegisterValue, error) {
	deadline := clock.Now().Add(constants.RegisterTimeout)
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
	lastDuration := clock.Duration(0)
	for failures := 0; clock.Now() < deadline; {
		if failures > 0 {
			clock.Sleep(register.Backoff(failures, lastDuration, clock.Float64()))
		}
		if preempted {
			// The value of the proposer that won may settle this request as well. A read shows that
			// without a ballot, so it preempts no other proposal.
			if value, decided := r.unchangedBy(change); decided {
				return value, nil
			}
		}
		start := clock.Now()
		proposal := r.attempt(known, change, deadline)
		lastDuration = clock.Now().Sub(start)
		if proposal.Stage() == register.StageDone {
			r.observeChosen(proposal.Value())
			known = proposal.Value()
			if proposal.FinishedOther() {
				continue
			}
			return proposal.Value(), nil
		}
		failures++
		preempted = proposal.Stage() == register.StageLost
		outcomeUnknown = outcomeUnknown || proposal.AcceptSent()
		r.lock.Lock()
		r.counter = max(r.counter, proposal.Highest().Counter)
		r.lock.Unlock()
		if newer := proposal.Newer(); newer != nil {
			// This value may never have been chosen, so it is only used for the next attempt.
			known = *newer
		}
	}
	if outcomeUnknown {
		return messages.RegisterValue{}, register.ErrOutcomeUnknown.New("no second majority in time")
	}
	return messages.RegisterValue{}, register.ErrNoQuorum.New("no first majority in time")
}

// unchangedBy reports whether the change would leave the value in force as it is, and returns that
// value.
func (r *Replica) unchangedBy(change register.Change) (messages.RegisterValue, bool) {
	value := r.quickRead(false)
	if value == nil {
		return messages.RegisterValue{}, false
	}
	_, verdict := change(*value)
	return *value, verdict == register.VerdictUnchanged
}

// attempt runs one proposal through its rounds.
func (r *Replica) attempt(known messages.RegisterValue, change register.Change, deadline clock.Instant) *register.Proposal {
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
	timer := clock.NewTimer(min(2*constants.RoundTimeout, deadline.Sub(clock.Now())))
	defer timer.Stop()
	for proposal.Stage() != register.StageDone && proposal.Stage() != register.StageLost {
		select {
		case resp := <-responses:
			if resp.promise != nil {
				dispatch(proposal.HandlePrepareResponse(resp.member, *resp.promise))
			} else {
				proposal.HandleAcceptResponse(resp.member, *resp.accepted)
			}
		case <-timer.C:
			return proposal
		}
	}
	return proposal
}
