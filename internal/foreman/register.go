package foreman

import (
	"sync"

	"lemonarch/internal/clamp"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
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
	// name is empty for the configuration's register.
	name     string
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
	return openRegister(disk, stoneName, first, newIdentity)
}

func openRegister(disk whetstone.Disk, file string, first []pattern.Member, newIdentity string) (*Register, error) {
	state := pattern.AcceptorRecord{}
	stone, failure := whetstone.Open(disk, file, func(_ int64, body []byte) error {
		// Each record replaces the one before.
		next := pattern.AcceptorRecord{}
		if _, problem := next.UnmarshalMsg(body); problem != nil {
			return Damaged.Wrap(problem, file)
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
	return pattern.Member{Name: own.Name, Disk: register.acceptor.Disk(), Address: own.Address, Hall: own.Hall}
}

// Hold answers a candidate for a duty.
func (register *Register) Hold(question pattern.HoldAsk) pattern.HoldAnswer {
	register.lock.Lock()
	defer register.lock.Unlock()
	return register.grants.Ask(question, register.acceptor.Value().Duty, watch.Now())
}
