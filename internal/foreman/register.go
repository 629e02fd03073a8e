package foreman

import (
	"math/rand"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/clamp"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
	"lemonarch/internal/whetstone"
)

// Damaged is the mishap of a register whose disk can't be read.
var Damaged = mishap.Define("register disk")

// stoneName is the file of the acceptor, and stoneLimit the length in bytes at
// which it is rewritten (ours).
const (
	stoneName  = "register"
	stoneLimit = 4 << 20
)

// Register drives the cores of register and holds: it syncs before it answers,
// and carries proposals to the other acceptors.
type Register struct {
	stand    *trestle.Trestle
	lock     sync.Mutex
	acceptor *vise.Acceptor
	stone    *whetstone.Stone
	grants   *clamp.Grants
	known    pattern.Register
	counter  uint64
	turn     sync.Mutex
	accepted func(generation int64)
}

// OpenRegister reads the disk; disk names its identity.
func OpenRegister(disk whetstone.Disk, first []pattern.Member, newIdentity string) (*Register, error) {
	state := pattern.AcceptorRecord{}
	stone, failure := whetstone.Open(disk, stoneName, func(_ int64, body []byte) error {
		// Each record replaces the one before.
		next := pattern.AcceptorRecord{}
		if _, problem := next.UnmarshalMsg(body); problem != nil {
			return Damaged.Wrap(problem, stoneName)
		}
		state = next
		return nil
	})
	if failure != nil {
		return nil, Damaged.Wrap(failure, "open")
	}
	fresh := state.Disk == ""
	if fresh {
		state.Disk, state.First = newIdentity, first
	}
	register := &Register{acceptor: vise.NewAcceptor(state), stone: stone}
	if fresh {
		if failure = register.keep(); failure != nil {
			return nil, failure
		}
	}
	// Only a first start with all others new as well may grant holds at once.
	register.grants = clamp.NewGrants(watch.Now(), fresh && len(first) > 0)
	register.known = register.acceptor.Value()
	register.counter = max(state.Promised.Counter, state.Accepted.Counter)
	return register, nil
}

// keep puts the acceptor's record on disk before anybody hears of it.
func (register *Register) keep() error {
	record := register.acceptor.Record()
	body, failure := record.MarshalMsg(nil)
	if failure != nil {
		return Damaged.Wrap(failure, "record")
	}
	if register.stone.Size() > stoneLimit {
		_, failure = register.stone.Rewrite(whetstone.Once(body))
		return Damaged.Wrap(failure, "rewrite")
	}
	if _, failure = register.stone.Append(body); failure == nil {
		failure = register.stone.Sync()
	}
	return Damaged.Wrap(failure, "append")
}

// Prepare answers a first round.
func (register *Register) Prepare(question *pattern.Prepare) (pattern.Promise, error) {
	register.lock.Lock()
	defer register.lock.Unlock()
	answer, keep := register.acceptor.Prepare(question)
	if keep {
		if failure := register.keep(); failure != nil {
			return pattern.Promise{}, failure
		}
	}
	return answer, nil
}

// Accept answers a second round.
func (register *Register) Accept(question *pattern.Accept) (pattern.Accepted, error) {
	register.lock.Lock()
	answer, keep := register.acceptor.Accept(question)
	var failure error
	if keep {
		failure = register.keep()
		register.learn(question.Value)
	}
	register.lock.Unlock()
	if failure != nil {
		return pattern.Accepted{}, failure
	}
	if keep && register.accepted != nil {
		register.accepted(question.Value.Current.Generation)
	}
	return answer, nil
}

// learn keeps the newest sets known. The lock is held.
func (register *Register) learn(value pattern.Register) {
	if value.SetEpoch >= register.known.SetEpoch && len(value.Acceptors) > 0 {
		register.known = value
	}
}

// Learn takes sets heard from elsewhere.
func (register *Register) Learn(value pattern.Register) {
	register.lock.Lock()
	defer register.lock.Unlock()
	if value.SetEpoch > register.known.SetEpoch || len(register.known.Acceptors) == 0 {
		register.learn(value)
	}
}

// Known gives the newest value known here, chosen or not: good for its sets.
func (register *Register) Known() pattern.Register {
	register.lock.Lock()
	defer register.lock.Unlock()
	return register.known
}

// Identity is this process as an acceptor.
func (register *Register) Identity() pattern.Member {
	own := register.stand.Own
	return pattern.Member{Name: own.Name, Disk: own.Disk, Address: own.Address, Hall: own.Hall}
}

// Hold answers a candidate for a duty.
func (register *Register) Hold(question pattern.HoldAsk) pattern.HoldAnswer {
	register.lock.Lock()
	defer register.lock.Unlock()
	return register.grants.Ask(question, register.acceptor.Value().Duty, watch.Now())
}

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
		failure = tongs.Ask(register.stand.Wire, send.Member.Address, pattern.KindPrepare, send.Prepare, answer.promise, almanac.RoundTime)
	case local:
		accepted, problem := register.Accept(send.Accept)
		answer.accepted, failure = &accepted, problem
	default:
		answer.accepted = &pattern.Accepted{}
		failure = tongs.Ask(register.stand.Wire, send.Member.Address, pattern.KindAccept, send.Accept, answer.accepted, almanac.RoundTime)
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
	ballot := pattern.Ballot{Counter: register.counter, Node: register.stand.Own.Name + register.stand.Own.Disk}
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
func (register *Register) Read() (pattern.Register, error) {
	reading, sends := vise.BeginReading(register.Known())
	answers := make(chan heard, len(sends))
	for _, send := range sends {
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
