package quorum

import (
	"math/rand"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// heard is one answer to a proposal's message.
type heard struct {
	member   messages.Member
	promise  *messages.Promise
	accepted *messages.Accepted
}

// carry takes one message of a proposal to its member.
func (localRegister *Register) carry(send register.Send, answers chan<- heard) {
	answer := heard{member: send.Member}
	local := send.Member.Address == localRegister.Runtime.Own.Address
	var err error
	switch {
	case send.Prepare != nil && local:
		promise, problem := localRegister.Prepare(send.Prepare)
		answer.promise, err = &promise, problem
	case send.Prepare != nil:
		answer.promise = &messages.Promise{}
		kind, question := localRegister.prepare(send.Prepare)
		err = transport.Ask(localRegister.Runtime.Wire, send.Member.Address, kind, question, answer.promise, constants.RoundTime)
	case local:
		accepted, problem := localRegister.Accept(send.Accept)
		answer.accepted, err = &accepted, problem
	default:
		answer.accepted = &messages.Accepted{}
		kind, question := localRegister.accept(send.Accept)
		err = transport.Ask(localRegister.Runtime.Wire, send.Member.Address, kind, question, answer.accepted, constants.RoundTime)
	}
	if err == nil {
		answers <- answer
	}
}

// Change runs a change until it is in force or its outcome can't be known.
func (localRegister *Register) Change(change register.Change) (messages.Register, error) {
	// One proposal at a time from here: two would only duel.
	localRegister.turn.Lock()
	defer localRegister.turn.Unlock()
	end := clock.Now().Plus(constants.RegisterTime)
	unclear := false
	for clock.Now() < end {
		proposal := localRegister.attempt(change, end)
		if proposal.Stage() == register.StageDone {
			localRegister.lock.Lock()
			localRegister.learn(proposal.Value())
			localRegister.lock.Unlock()
			return proposal.Value(), nil
		}
		unclear = unclear || proposal.Sent()
		localRegister.lock.Lock()
		localRegister.counter = max(localRegister.counter, proposal.Highest().Counter)
		if newer := proposal.Newer(); newer != nil {
			localRegister.learn(*newer)
		}
		localRegister.lock.Unlock()
		clock.Sleep(constants.BackoffBase + clock.Span(rand.Int63n(int64(constants.BackoffSpread))))
	}
	if unclear {
		return messages.Register{}, register.Unclear.New("no second majority in time")
	}
	return messages.Register{}, register.NoMajority.New("no first majority in time")
}

func (localRegister *Register) attempt(change register.Change, end clock.Moment) *register.Proposal {
	localRegister.lock.Lock()
	localRegister.counter++
	own := localRegister.Runtime.Own
	ballot := register.NewBallot(localRegister.counter, own.Name, own.Disk, own.Life)
	known := localRegister.known
	localRegister.lock.Unlock()
	proposal, sends := register.Begin(ballot, known, change)
	answers := make(chan heard, 4*(len(sends)+2))
	dispatch := func(list []register.Send) {
		for _, send := range list {
			go localRegister.carry(send, answers)
		}
	}
	dispatch(sends)
	timer := clock.NewTimer(min(2*constants.RoundTime, end.Since(clock.Now())))
	defer timer.Stop()
	for proposal.Stage() != register.StageDone && proposal.Stage() != register.StageLost {
		select {
		case one := <-answers:
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

// Read gives the value in force.
func (localRegister *Register) Read() (messages.Register, error) { return localRegister.read(false) }

// ReadSets gives it without the configuration's body: stores ask often, and the body
// would come from each acceptor each time.
func (localRegister *Register) ReadSets() (messages.Register, error) {
	value, err := localRegister.read(true)
	value.Body = nil
	return value, err
}

func (localRegister *Register) read(slim bool) (messages.Register, error) {
	reading, sends := register.BeginReading(localRegister.Known())
	answers := make(chan heard, len(sends))
	for _, send := range sends {
		send.Prepare.Slim = slim
		go localRegister.carry(send, answers)
	}
	timer := clock.NewTimer(constants.RoundTime)
	defer timer.Stop()
	for waiting := len(sends); waiting > 0; waiting-- {
		select {
		case one := <-answers:
			value, settled := reading.Heard(one.member, *one.promise)
			if value != nil {
				return *value, nil
			}
			if settled {
				waiting = 1
			}
		case <-timer.C:
			waiting = 1
		}
	}
	return localRegister.Change(register.Look)
}
