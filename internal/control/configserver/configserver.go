// Package configserver keeps the configuration of the fleet at one controller: it commits
// new versions through the register, applies and broadcasts what was chosen, and answers
// processes that read the configuration or the sets of the register.
//
// A version is chosen once a majority of the acceptors has it on disk; it is acknowledged
// once the set of acceptors tolerates the fault budget and the processes in contact were
// notified (docs/control/2-one-history.md).
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

// acceptedReads is how often a process looks for a version that its acceptor accepted and
// nobody announced (ours).
const acceptedReads = 5

// Server keeps the configuration at one controller.
type Server struct {
	node      *agent.Agent
	replica   *registerserver.Replica
	sets      *registerserver.SetMaintainer
	contact   *contactserver.Server
	broadcast *broadcastserver.Server
	// reads and setReads share the reads of callers that come at one time.
	reads    sharedRead
	setReads sharedRead
}

// New makes the server. Its contact lease is made here as well, since what the lease finds
// behind is caught up by this server. The requests of other processes are registered.
func New(replica *registerserver.Replica, sets *registerserver.SetMaintainer, broadcast *broadcastserver.Server) *Server {
	s := &Server{node: replica.Node, replica: replica, sets: sets, broadcast: broadcast}
	s.contact = contactserver.New(replica, s.catchUp)
	replica.OnAccepted = s.onAccepted
	process.Handle(s.node.Runtime, messages.KindConfigPull, s.handleConfigPull)
	process.Handle(s.node.Runtime, messages.KindRegisterRead, s.handleRegisterRead)
	process.Handle(s.node.Runtime, messages.KindRegisterChange, s.handleRegisterChange)
	return s
}

// Contact is the contact lease of this process.
func (s *Server) Contact() *contactserver.Server { return s.contact }

// Outcome is how a change of the configuration came out.
type Outcome struct {
	// Value is the register's value after it.
	Value  messages.RegisterValue
	Result register.Result
	// Err, where it is set, means that the change may or may not be in force.
	Err error
}

// confirmed tells whether the version is in force.
func (o *Outcome) confirmed() bool { return o.Err == nil && o.Result.InForce() }

// Commit puts a version in force, waits until the set that holds it tolerates the fault
// budget, and has everybody notified. It gives up once contact with a majority is lost.
func (s *Server) Commit(version messages.Version, body []byte) Outcome {
	outcome, inContact := contactserver.WhileValid(s.contact, func() Outcome { return s.commit(version, body) })
	if !inContact {
		outcome.Err = contactserver.ErrNoContact.New("contact was lost meanwhile")
	}
	return outcome
}

func (s *Server) commit(version messages.Version, body []byte) Outcome {
	var outcome Outcome
	// A refusal needs no waiting for the set.
	outcome.Value, outcome.Result, outcome.Err = s.sets.CommitTolerant(version, body, register.Result.InForce)
	if outcome.Err == nil {
		s.apply(outcome.Value, outcome.confirmed())
	}
	return outcome
}

// Load reads the value in force and applies it here.
func (s *Server) Load() error {
	value, err := s.replica.Read()
	if err != nil {
		return err
	}
	s.apply(value, false)
	return nil
}

// apply puts a chosen value in force here and, where push is set, notifies everybody before
// it returns; where it is only newer than what was followed here, without waiting.
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

// onAccepted follows what this process's acceptor accepted. The proposer may die right after
// it has acknowledged a version, so this process looks for itself a little later, in a
// goroutine that ends after acceptedReads.
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

// catchUp looks for what an acceptor has accepted and this process does not follow.
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
