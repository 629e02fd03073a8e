package foreman

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// heard is one answer to a proposal's message.
type heard struct {
	member   pattern.Member
	promise  *pattern.Promise
	accepted *pattern.Accepted
}

// carry takes one message of a proposal to its member.
func (register *Register) carry(send vise.Send, answers chan<- heard) {
	answer := heard{member: send.Member}
	local := send.Member.Address == register.stand.Own.Address
	var failure error
	switch {
	case send.Prepare != nil && local:
		promise, problem := register.Prepare(send.Prepare)
		answer.promise, failure = &promise, problem
	case send.Prepare != nil:
		answer.promise = &pattern.Promise{}
		kind, question := register.prepare(send.Prepare)
		failure = tongs.Ask(register.stand.Wire, send.Member.Address, kind, question, answer.promise, almanac.RoundTime)
	case local:
		accepted, problem := register.Accept(send.Accept)
		answer.accepted, failure = &accepted, problem
	default:
		answer.accepted = &pattern.Accepted{}
		kind, question := register.accept(send.Accept)
		failure = tongs.Ask(register.stand.Wire, send.Member.Address, kind, question, answer.accepted, almanac.RoundTime)
	}
	if failure == nil {
		answers <- answer
	}
}

// Change runs a change until it is in force or its outcome can't be known.
func (register *Register) Change(change vise.Change) (pattern.Register, error) {
	// One proposal at a time from here: two would only duel.
	register.turn.Lock()
	defer register.turn.Unlock()
	end := watch.Now().Plus(almanac.RegisterTime)
	unclear := false
	for watch.Now() < end {
		proposal := register.attempt(change, end)
		if proposal.Stage() == vise.StageDone {
			register.lock.Lock()
			register.learn(proposal.Value())
			register.lock.Unlock()
			return proposal.Value(), nil
		}
		unclear = unclear || proposal.Sent()
		register.lock.Lock()
		register.counter = max(register.counter, proposal.Highest().Counter)
		if newer := proposal.Newer(); newer != nil {
			register.learn(*newer)
		}
		register.lock.Unlock()
		watch.Sleep(almanac.BackoffBase + watch.Span(rand.Int63n(int64(almanac.BackoffSpread))))
	}
	if unclear {
		return pattern.Register{}, vise.Unclear.New("no second majority in time")
	}
	return pattern.Register{}, vise.NoMajority.New("no first majority in time")
}

func (register *Register) attempt(change vise.Change, end watch.Moment) *vise.Proposal {
	register.lock.Lock()
	register.counter++
	own := register.stand.Own
	ballot := vise.NewBallot(register.counter, own.Name, own.Disk, own.Life)
	known := register.known
	register.lock.Unlock()
	proposal, sends := vise.Begin(ballot, known, change)
	answers := make(chan heard, 4*(len(sends)+2))
	dispatch := func(list []vise.Send) {
		for _, send := range list {
			go register.carry(send, answers)
		}
	}
	dispatch(sends)
	timer := watch.NewTimer(min(2*almanac.RoundTime, end.Since(watch.Now())))
	defer timer.Stop()
	for proposal.Stage() != vise.StageDone && proposal.Stage() != vise.StageLost {
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
func (register *Register) Read() (pattern.Register, error) { return register.read(false) }

// ReadSets gives it without the configuration's body: lockers ask often, and the body
// would come from each acceptor each time.
func (register *Register) ReadSets() (pattern.Register, error) {
	value, failure := register.read(true)
	value.Body = nil
	return value, failure
}

func (register *Register) read(slim bool) (pattern.Register, error) {
	reading, sends := vise.BeginReading(register.Known())
	answers := make(chan heard, len(sends))
	for _, send := range sends {
		send.Prepare.Slim = slim
		go register.carry(send, answers)
	}
	timer := watch.NewTimer(almanac.RoundTime)
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
	return register.Change(vise.Look)
}
