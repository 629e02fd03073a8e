// Package quorum drives one process's part in a register: its acceptor on disk, the
// leases it grants, and the proposals that it carries to the other acceptors.
package quorum

import (
	"sync"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/recordlog"
)

// Damaged is the error of a register whose disk can't be read.
var Damaged = errs.Define("register disk")

// logfileName is the file of the acceptor, and logfileLimit the length in bytes at
// which it is rewritten (ours).
const (
	logfileName  = "register"
	logfileLimit = 4 << 20
)

// Register drives the cores of register and leases: it syncs before it answers,
// and carries proposals to the other acceptors.
type Register struct {
	// Name is empty for the configuration's register.
	Name string
	// Runtime is the process that carries proposals; it is set before the first.
	Runtime *node.Node
	// Accepted, where set, hears of each value that this acceptor took.
	Accepted func(generation int64)

	lock     sync.Mutex
	acceptor *register.Acceptor
	logfile  *recordlog.Logfile
	grants   *lease.Grants
	known    messages.Register
	counter  uint64
	turn     sync.Mutex
}

// Open reads the disk; disk names its identity.
func Open(disk recordlog.Disk, first []messages.Member, newIdentity string) (*Register, error) {
	return open(disk, logfileName, first, newIdentity)
}

func open(disk recordlog.Disk, file string, first []messages.Member, newIdentity string) (*Register, error) {
	state := messages.AcceptorRecord{}
	logfile, err := recordlog.Open(disk, file, func(_ int64, body []byte) error {
		// Each record replaces the one before.
		next := messages.AcceptorRecord{}
		if _, problem := next.UnmarshalMsg(body); problem != nil {
			return Damaged.Wrap(problem, file)
		}
		state = next
		return nil
	})
	if err != nil {
		return nil, Damaged.Wrap(err, "open")
	}
	fresh := state.Disk == ""
	if fresh {
		state.Disk, state.First = newIdentity, first
	}
	localRegister := &Register{acceptor: register.NewAcceptor(state), logfile: logfile}
	if fresh {
		if err = localRegister.keep(); err != nil {
			return nil, err
		}
	}
	// Only a first start with all others new as well may grant holds at once.
	localRegister.grants = lease.NewGrants(clock.Now(), fresh && len(first) > 0)
	localRegister.known = localRegister.acceptor.Value()
	localRegister.counter = max(state.Promised.Counter, state.Accepted.Counter)
	return localRegister, nil
}

// keep puts the acceptor's record on disk before anybody hears of it.
func (localRegister *Register) keep() error {
	record := localRegister.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err != nil {
		return Damaged.Wrap(err, "record")
	}
	if localRegister.logfile.Size() > logfileLimit {
		_, err = localRegister.logfile.Rewrite(recordlog.Once(body))
		return Damaged.Wrap(err, "rewrite")
	}
	if _, err = localRegister.logfile.Append(body); err == nil {
		err = localRegister.logfile.Sync()
	}
	return Damaged.Wrap(err, "append")
}

// Prepare answers a first round.
func (localRegister *Register) Prepare(question *messages.Prepare) (messages.Promise, error) {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	answer, keep := localRegister.acceptor.Prepare(question)
	if keep {
		if err := localRegister.keep(); err != nil {
			return messages.Promise{}, err
		}
	}
	return answer, nil
}

// Accept answers a second round.
func (localRegister *Register) Accept(question *messages.Accept) (messages.Accepted, error) {
	localRegister.lock.Lock()
	answer, keep := localRegister.acceptor.Accept(question)
	var err error
	if keep {
		err = localRegister.keep()
		localRegister.learn(question.Value)
	}
	localRegister.lock.Unlock()
	if err != nil {
		return messages.Accepted{}, err
	}
	if keep && localRegister.Accepted != nil {
		localRegister.Accepted(question.Value.Current.Generation)
	}
	return answer, nil
}

// learn keeps the newest sets known. The lock is held.
func (localRegister *Register) learn(value messages.Register) {
	if value.SetEpoch >= localRegister.known.SetEpoch && len(value.Acceptors) > 0 {
		localRegister.known = value
	}
}

// Learn takes sets heard from elsewhere.
func (localRegister *Register) Learn(value messages.Register) {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	if value.SetEpoch > localRegister.known.SetEpoch || len(localRegister.known.Acceptors) == 0 {
		localRegister.learn(value)
	}
}

// Known gives the newest value known here, chosen or not: good for its sets.
func (localRegister *Register) Known() messages.Register {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	return localRegister.known
}

// Identity is this process as an acceptor.
func (localRegister *Register) Identity() messages.Member {
	own := localRegister.Runtime.Own
	return messages.Member{Name: own.Name, Disk: localRegister.acceptor.Disk(), Address: own.Address, Zone: own.Zone}
}

// Hold answers a candidate for a duty.
func (localRegister *Register) Hold(question messages.HoldAsk) messages.HoldAnswer {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	return localRegister.grants.Ask(question, localRegister.acceptor.Value().Duty, clock.Now())
}

// Disk is the identity of this acceptor's disk.
func (localRegister *Register) Disk() string { return localRegister.acceptor.Disk() }

// Record is what this acceptor keeps on disk.
func (localRegister *Register) Record() messages.AcceptorRecord {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	return localRegister.acceptor.Record()
}
