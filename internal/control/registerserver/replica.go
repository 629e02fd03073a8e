// Package registerserver runs the part of one process in a register: its acceptor on disk, the
// leases that it grants, and the proposals that it sends to the other acceptors.
package registerserver

import (
	"sync"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// ErrDisk is the error of a register whose disk cannot be read or written.
var ErrDisk = errs.Define("register disk")

// ErrBusy is the error of an acceptor whose disk is too slow for its votes.
var ErrBusy = errs.Define("register busy")

// logfileName is the name of the acceptor's file, and logfileLimit the length in bytes at which it
// is rewritten.
const (
	logfileName  = "register"
	logfileLimit = 4 << 20
)

// Replica drives the step functions of packages register and lease: it syncs the state of the acceptor
// to disk before it responds, and sends proposals to the other acceptors. Granted leases are kept in
// memory only.
type Replica struct {
	// Name is the name of the register; empty for the register of the configuration.
	Name string
	// Node is the process that sends proposals. It is set before the first proposal.
	Node *agent.Agent
	// OnAccepted, if set, is called with the generation of each value that this acceptor accepted.
	OnAccepted func(generation int64)

	// voting is held while the acceptor decides and its record is written to disk. It guards the
	// two fields below.
	voting   sync.Mutex
	acceptor *register.Acceptor
	logfile  *recordlog.Log

	// lock guards the fields below. It is never held during disk or network I/O, so that a disk
	// that hangs blocks only votes.
	lock    sync.Mutex
	durable messages.AcceptorRecord
	grantor *lease.Grantor
	// known is the newest known value, of which only the sets may be used. chosen is set if this
	// process saw a majority accept it. A value that was only accepted by some acceptor may not be
	// chosen in the end, and must not be passed on.
	known  messages.RegisterValue
	chosen bool
	// newestEpoch is the epoch of the newest set known so far, and newestSince the time at which it
	// became known.
	newestEpoch uint64
	newestSince clock.Instant
	// counter is the highest ballot counter that this process has used, has seen in responses to its
	// proposals, or had on disk at its start.
	counter uint64

	archive *archive
	// proposing is a semaphore of one: two concurrent proposals of this process would only preempt
	// each other.
	proposing chan struct{}
}

// Open opens the register of the configuration from disk. An empty disk gets the identity
// newIdentity, and first as its first acceptor set.
func Open(disk recordlog.Disk, first []messages.Member, newIdentity string) (*Replica, error) {
	return open(disk, logfileName, first, newIdentity)
}

func open(disk recordlog.Disk, file string, first []messages.Member, newIdentity string) (*Replica, error) {
	state := messages.AcceptorRecord{}
	logfile, err := recordlog.Open(disk, file, func(_ int64, body []byte) error {
		// Each record replaces the previous one.
		next := messages.AcceptorRecord{}
		if _, cause := next.UnmarshalMsg(body); cause != nil {
			return ErrDisk.Wrap(cause, file)
		}
		state = next
		return nil
	})
	if err != nil {
		return nil, ErrDisk.Wrap(err, "open record file")
	}
	fresh := state.Disk == ""
	if fresh {
		state.Disk, state.First = newIdentity, first
	}
	replica := &Replica{acceptor: register.NewAcceptor(state), logfile: logfile, durable: state, proposing: make(chan struct{}, 1)}
	if fresh {
		if err = replica.persist(); err != nil {
			return nil, err
		}
	}
	if replica.archive, err = openArchive(disk, file+archiveSuffix); err != nil {
		return nil, err
	}
	// Only an acceptor at the first start of the system, when all others are new as well, may grant
	// leases immediately.
	replica.grantor = lease.NewGrantor(clock.Now(), fresh && len(first) > 0)
	replica.known = replica.acceptor.Value()
	// If nothing was accepted yet, only the first set can be in force.
	replica.chosen = fresh && len(first) > 0
	replica.counter = max(state.Promised.Counter, state.Accepted.Counter)
	return replica, nil
}

// ObserveSets handles the sets that another process reported.
func (r *Replica) ObserveSets(value messages.RegisterValue) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(value.Acceptors) == 0 {
		return
	}
	if len(r.known.Acceptors) == 0 || value.SetEpoch > r.known.SetEpoch {
		r.setKnown(value, false)
	}
}

// observeChosen handles a value that this process saw a majority accept.
func (r *Replica) observeChosen(value messages.RegisterValue) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.chosen || value.SetEpoch >= r.known.SetEpoch {
		r.setKnown(value, true)
	}
}

// setKnown sets the known value. The caller must hold lock.
func (r *Replica) setKnown(value messages.RegisterValue, chosen bool) {
	if value.SetEpoch > r.newestEpoch {
		r.newestEpoch, r.newestSince = value.SetEpoch, clock.Now()
	}
	r.known, r.chosen = value, chosen
}

// Chosen returns the newest known value, and reports whether this process saw a majority accept it.
func (r *Replica) Chosen() (value messages.RegisterValue, known bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.known, r.chosen
}

// JointRecent reports whether a joint set became known less than constants.JointSetOwnerTime ago:
// the process that proposed it is about to end it.
func (r *Replica) JointRecent() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.known.Previous) > 0 && clock.Now().Sub(r.newestSince) < constants.JointSetOwnerTime
}

// Known returns the newest known value, chosen or not; only its sets may be used.
func (r *Replica) Known() messages.RegisterValue {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.known
}

// Identity returns this process as an acceptor.
func (r *Replica) Identity() messages.Member {
	own := r.Node.Self
	return messages.Member{Name: own.Name, Disk: r.Disk(), Address: own.Address, Zone: own.Zone}
}

// Disk returns the identity of this acceptor's disk.
func (r *Replica) Disk() string { return r.Record().Disk }

// Record returns what this acceptor has on disk.
func (r *Replica) Record() messages.AcceptorRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.durable
}

// GrantLease handles the request of a candidate for the lease of the leadership.
func (r *Replica) GrantLease(req messages.LeaseRequest) messages.LeaseResponse {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.grantor.Grant(req, r.durable.Value.Leadership, clock.Now())
}
