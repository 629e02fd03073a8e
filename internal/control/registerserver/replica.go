// Package registerserver drives one process's part in a register: its acceptor on disk, the
// leases it grants, and the proposals that it sends to the other acceptors.
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

// ErrDisk is the error of a register whose disk can't be read or written.
var ErrDisk = errs.Define("register disk")

// ErrBusy is the error of an acceptor whose disk is behind with its votes.
var ErrBusy = errs.Define("register busy")

// logfileName is the file of the acceptor, and logfileLimit the length in bytes at
// which it is rewritten (ours).
const (
	logfileName  = "register"
	logfileLimit = 4 << 20
)

// Replica drives the cores of register and leases: it syncs before it answers, and
// sends proposals to the other acceptors.
type Replica struct {
	// Name is empty for the configuration's register.
	Name string
	// Node is the process that sends proposals; it is set before the first.
	Node *agent.Agent
	// OnAccepted, where set, is told of each value that this acceptor accepted.
	OnAccepted func(generation int64)

	// voting is held while the acceptor decides and its record goes to disk. It
	// guards the two fields below.
	voting   sync.Mutex
	acceptor *register.Acceptor
	logfile  *recordlog.Log

	// lock guards the fields below. It is never held while disk or network is
	// waited for, so that a disk that hangs stops nothing but votes.
	lock    sync.Mutex
	durable messages.AcceptorRecord
	grantor *lease.Grantor
	// known is the newest value known here, good for its sets; chosen says that this
	// process saw a majority hold it. One that was only accepted somewhere may have
	// lost, and must not be passed on.
	known  messages.RegisterValue
	chosen bool
	// newestEpoch is the newest set known so far, and newestSince when it was met.
	newestEpoch uint64
	newestSince clock.Instant
	counter     uint64

	archive *archive
	// proposing holds one token: two proposals from here would only compete.
	proposing chan struct{}
}

// Open reads the disk; disk names its identity.
func Open(disk recordlog.Disk, first []messages.Member, newIdentity string) (*Replica, error) {
	return open(disk, logfileName, first, newIdentity)
}

func open(disk recordlog.Disk, file string, first []messages.Member, newIdentity string) (*Replica, error) {
	state := messages.AcceptorRecord{}
	logfile, err := recordlog.Open(disk, file, func(_ int64, body []byte) error {
		// Each record replaces the one before.
		next := messages.AcceptorRecord{}
		if _, cause := next.UnmarshalMsg(body); cause != nil {
			return ErrDisk.Wrap(cause, file)
		}
		state = next
		return nil
	})
	if err != nil {
		return nil, ErrDisk.Wrap(err, "open")
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
	// Only a first start with all others new as well may grant leases at once.
	replica.grantor = lease.NewGrantor(clock.Now(), fresh && len(first) > 0)
	replica.known = replica.acceptor.Value()
	// Nothing else than the first set can be in force where nothing was accepted yet.
	replica.chosen = fresh && len(first) > 0
	replica.counter = max(state.Promised.Counter, state.Accepted.Counter)
	return replica, nil
}

// ObserveSets takes the sets that another process told of.
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

// observeChosen takes a value that a majority was seen to hold.
func (r *Replica) observeChosen(value messages.RegisterValue) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.chosen || value.SetEpoch >= r.known.SetEpoch {
		r.setKnown(value, true)
	}
}

// setKnown takes a value's sets. The lock is held.
func (r *Replica) setKnown(value messages.RegisterValue, chosen bool) {
	if value.SetEpoch > r.newestEpoch {
		r.newestEpoch, r.newestSince = value.SetEpoch, clock.Now()
	}
	r.known, r.chosen = value, chosen
}

// Chosen gives the newest value known here, and whether this process saw a majority
// hold it.
func (r *Replica) Chosen() (value messages.RegisterValue, known bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.known, r.chosen
}

// JointRecent tells whether a joint set was met a short while ago: whoever proposed it
// is about to end it.
func (r *Replica) JointRecent() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.known.Previous) > 0 && clock.Now().Sub(r.newestSince) < constants.JointSetOwnerTime
}

// Known gives the newest value known here, chosen or not: good for its sets.
func (r *Replica) Known() messages.RegisterValue {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.known
}

// Identity is this process as an acceptor.
func (r *Replica) Identity() messages.Member {
	own := r.Node.Self
	return messages.Member{Name: own.Name, Disk: r.Disk(), Address: own.Address, Zone: own.Zone}
}

// Disk is the identity of this acceptor's disk.
func (r *Replica) Disk() string { return r.Record().Disk }

// Record is what this acceptor has on disk.
func (r *Replica) Record() messages.AcceptorRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.durable
}

// GrantLease answers a candidate for the leadership's lease.
func (r *Replica) GrantLease(req messages.LeaseRequest) messages.LeaseResponse {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.grantor.Grant(req, r.durable.Value.Leadership, clock.Now())
}
