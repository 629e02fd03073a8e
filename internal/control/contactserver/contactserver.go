// Package contactserver maintains a controller's contact lease: it sends requests to the acceptors
// once per constants.ContactPeriod, responds to the requests of other controllers, and looks for
// newer values that an acceptor has accepted and this process does not follow yet. The rule of the
// lease is in package contact.
package contactserver

import (
	"sync"

	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// ErrNoContact is the error of a controller that has no contact with a majority of the acceptors,
// and therefore can neither confirm nor reject anything.
var ErrNoContact = errs.Define("no contact with a majority")

// NoClearAnswer is the reason in HTTP responses of a controller that can neither confirm nor reject
// a request. These responses have no Retry-After header, because the client should send the request
// to another controller instead of retrying at this one.
const NoClearAnswer = "no clear answer here: ask another controller"

// Server maintains the contact lease of one controller. It has a lock of its own, so that a disk
// that hangs does not block its responses.
type Server struct {
	replica *registerserver.Replica
	// catchUp brings this process up to versions that an acceptor has accepted and this process
	// does not follow.
	catchUp func(accepted contact.Versions)

	// lock guards the fields below.
	lock  sync.Mutex
	lease *contact.Lease
	// sets are the acceptor sets that the lease was last checked against.
	sets messages.RegisterValue
	// requestedAt is the time at which the last round began; zero before the first round.
	requestedAt clock.Instant
	// catchingUp is set while catchUp runs.
	catchingUp bool
}

// New returns the server of a controller whose lease was never renewed, and registers its handler
// for contact requests of other controllers.
func New(replica *registerserver.Replica, catchUp func(accepted contact.Versions)) *Server {
	s := &Server{replica: replica, catchUp: catchUp, lease: contact.New()}
	process.Handle(replica.Node.Runtime, messages.KindContact, func(_ *messages.ContactRequest) (*messages.ContactResponse, error) {
		return s.accepted(), nil
	})
	return s
}

// accepted returns what this process's own acceptor has accepted.
func (s *Server) accepted() *messages.ContactResponse {
	record := s.replica.Record()
	return &messages.ContactResponse{Disk: record.Disk, SetEpoch: record.Value.SetEpoch, Generation: record.Value.Current.Generation}
}

// Followed returns the acceptor set epoch and the configuration generation that this process
// follows.
func (s *Server) Followed() contact.Versions {
	return contact.Versions{SetEpoch: s.replica.Known().SetEpoch, Generation: s.replica.Node.Generation()}
}

// Sets returns the acceptor sets that the lease was last checked against.
func (s *Server) Sets() messages.RegisterValue {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.sets
}

// Valid reports whether the contact lease is valid. It does not block on I/O.
func (s *Server) Valid() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lease.Valid(&s.sets, clock.Now())
}

// Await is Valid for callers that may wait: if the lease is not valid, it waits for that until half
// of constants.ContactTimeout has passed since the last round began. If the next round is overdue, it
// first begins one: after a start or after the process was suspended, one round is needed to decide
// whether the process has contact at all.
func (s *Server) Await() bool {
	if s.Valid() {
		return true
	}
	if s.roundOverdue() {
		s.Round()
	}
	s.lock.Lock()
	deadline := s.requestedAt.Add(constants.ContactTimeout / 2)
	s.lock.Unlock()
	for !s.Valid() {
		if clock.Now() > deadline {
			return false
		}
		clock.Sleep(constants.TickPeriod / 10)
	}
	return true
}

func (s *Server) roundOverdue() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.requestedAt == 0 || clock.Now().Sub(s.requestedAt) > constants.ContactPeriod+constants.ContactTimeout
}

// Round sends a contact request to every other acceptor and handles the state of this process's own
// acceptor directly. It does not wait for the responses.
func (s *Server) Round() {
	node, known := s.replica.Node, s.replica.Known()
	known.Body, known.History = nil, nil
	now := clock.Now()
	s.lock.Lock()
	s.requestedAt, s.sets = now, known
	s.lease.Trim(&known)
	s.lock.Unlock()
	for _, member := range register.Targets(&known) {
		if member.Address == node.Self.Address {
			s.handleResponse(member, now, s.accepted())
			continue
		}
		go func() {
			resp := &messages.ContactResponse{}
			if transport.Call(node.Transport, member.Address, messages.KindContact, &messages.ContactRequest{From: node.Self.Address}, resp, constants.ContactTimeout) == nil {
				s.handleResponse(member, now, resp)
			}
		}()
	}
}

// handleResponse handles the response of one acceptor to a round that began at sentAt. If the
// acceptor is ahead, this process starts to catch up; until it follows the newer versions, the
// responses of that acceptor do not renew the lease.
func (s *Server) handleResponse(member messages.Member, sentAt clock.Instant, resp *messages.ContactResponse) {
	// The response counts for the disk that it names: a machine whose disk was emptied is a
	// different acceptor.
	member.Disk = resp.Disk
	accepted, followed := contact.Versions{SetEpoch: resp.SetEpoch, Generation: resp.Generation}, s.Followed()
	s.lock.Lock()
	ahead := s.lease.Observe(member, sentAt, accepted, followed)
	startCatchUp := ahead && !s.catchingUp
	s.catchingUp = s.catchingUp || startCatchUp
	s.lock.Unlock()
	if startCatchUp {
		go s.catchUpOnce(accepted)
	}
}

// catchUpOnce catches up with the accepted versions. It first waits, so that the proposer has time
// to distribute them.
func (s *Server) catchUpOnce(accepted contact.Versions) {
	clock.Sleep(constants.PushTimeout / 2)
	s.catchUp(accepted)
	s.lock.Lock()
	s.catchingUp = false
	s.lock.Unlock()
	s.Round()
}

// WhileValid runs a function whose outcome may stay unknown, and stops waiting for it once the
// contact lease has expired. The function then keeps running in the background, and the returned
// false means that the caller should be sent to another controller.
func WhileValid[Result any](s *Server, work func() Result) (Result, bool) {
	results := make(chan Result, 1)
	go func() { results <- work() }()
	for {
		select {
		case result := <-results:
			return result, true
		case <-clock.After(constants.TickPeriod):
			if !s.Valid() {
				var zero Result
				return zero, false
			}
		}
	}
}
