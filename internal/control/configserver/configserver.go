// Package configserver manages the configuration of the fleet on one controller: it commits
// new versions through the register, applies and broadcasts chosen versions, and serves the
// configuration and the sets of the register to other processes.
//
// A version is chosen once a majority of the acceptors has it on disk. It is acknowledged once
// two conditions are met: the acceptor set that has it tolerates the fault budget, and then
// either the processes in contact were notified or constants.PushTimeout has passed
// (docs/control/2-one-history.md).
package configserver

import (
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/broadcastserver"
	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
)

// acceptedReads is how many times at most a process reads the register for a version that its acceptor
// accepted and that no process has announced to it.
const acceptedReads = 5

// Server manages the configuration on one controller.
type Server struct {
	node      *agent.Agent
	replica   *registerserver.Replica
	sets      *registerserver.SetMaintainer
	contact   *contactserver.Server
	broadcast *broadcastserver.Server
	// reads and setReads share reads of the register among concurrent callers.
	reads    sharedRead
	setReads sharedRead
}

// New creates the server and registers the handlers for other processes' requests. It also creates the
// contact lease, since this server catches up when the lease finds that a newer version was accepted.
func New(replica *registerserver.Replica, sets *registerserver.SetMaintainer, broadcast *broadcastserver.Server) *Server {
	s := &Server{node: replica.Node, replica: replica, sets: sets, broadcast: broadcast}
	s.contact = contactserver.New(replica, s.catchUp)
	replica.OnAccepted = s.onAccepted
	process.Handle(s.node.Runtime, messages.KindConfigPull, s.handleConfigPull)
	process.Handle(s.node.Runtime, messages.KindRegisterRead, s.handleRegisterRead)
	process.Handle(s.node.Runtime, messages.KindRegisterChange, s.handleRegisterChange)
	return s
}

// Contact returns the contact lease of this process.
func (s *Server) Contact() *contactserver.Server { return s.contact }

// Outcome is the outcome of a change of the configuration.
type Outcome struct {
	// Value is the register's value after the change.
	Value  messages.RegisterValue
	Result register.Result
	// Err, if not nil, means that the change may or may not be in force.
	Err error
}

// confirmed reports whether the version is in force for certain.
func (o *Outcome) confirmed() bool { return o.Err == nil && o.Result.InForce() }

// Commit puts a version in force, waits until the acceptor set that stores it tolerates the fault
// budget, and notifies all processes in contact. It stops waiting, with an unknown outcome, once contact
// with a majority is lost.
func (s *Server) Commit(version messages.Version, body []byte) Outcome {
	outcome, inContact := contactserver.WhileValid(s.contact, func() Outcome { return s.commit(version, body) })
	if !inContact {
		outcome.Err = contactserver.ErrNoContact.New("contact was lost meanwhile")
	}
	return outcome
}

func (s *Server) commit(version messages.Version, body []byte) Outcome {
	var outcome Outcome
	// A rejection does not wait for the set.
	outcome.Value, outcome.Result, outcome.Err = s.sets.CommitTolerant(version, body, register.Result.InForce)
	if outcome.Err == nil {
		s.apply(outcome.Value, outcome.confirmed())
	}
	return outcome
}

// Load reads the value in force from the register and applies it to this process.
func (s *Server) Load() error {
	value, err := s.replica.Read()
	if err != nil {
		return err
	}
	s.apply(value, false)
	return nil
}

// apply applies a chosen value to this process. If push is set, it also broadcasts the value, and returns
// once all processes in contact have it or after constants.PushTimeout. Otherwise it broadcasts a value
// that is newer than this process's own, without waiting.
func (s *Server) apply(value messages.RegisterValue, push bool) {
	if value.Current.Generation == 0 {
		return
	}
	newer := value.Current.Generation > s.node.Generation()
	s.node.ApplyConfig(value.Body)
	update := &messages.RelayRequest{Generation: value.Current.Generation, Body: value.Body}
	switch {
	case push:
		s.broadcast.Broadcast(update, constants.PushTimeout)
	case newer:
		go s.broadcast.Broadcast(update, constants.PushTimeout)
	}
}

// onAccepted follows a version that this process's acceptor accepted. The proposer may crash right after
// it has acknowledged the version, so this process reads the register itself a little later, in a
// goroutine that ends after at most acceptedReads reads.
func (s *Server) onAccepted(generation int64) {
	if generation <= s.node.Generation() {
		return
	}
	go func() {
		clock.Sleep(constants.PushTimeout)
		for round := 0; round < acceptedReads && s.node.Generation() < generation; round++ {
			if s.Load() == nil {
				return
			}
			clock.Sleep(constants.PushTimeout)
		}
	}()
}

// catchUp reads the register if an acceptor has accepted sets or a configuration that are newer than
// those that this process follows.
func (s *Server) catchUp(accepted contact.Versions) {
	if accepted.SetEpoch > s.contact.Followed().SetEpoch {
		if _, err := s.replica.ReadSets(); err != nil {
			s.replica.SyncSets()
		}
	}
	if accepted.Generation > s.contact.Followed().Generation {
		if value, err := s.reads.Read(s.replica.Read); err == nil {
			s.apply(value, false)
		}
	}
}
