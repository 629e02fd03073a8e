// Package contactserver keeps a controller's contact lease: it asks the acceptors for it
// once a period, answers other controllers' requests, and looks for what an acceptor has
// that this process does not follow yet. The rule of the lease is package contact.
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

// ErrNoContact is the error of a controller that is not in contact with a majority of the
// acceptors: it can neither confirm nor refuse anything.
var ErrNoContact = errs.Define("no contact with a majority")

// NoClearAnswer is the reason in answers of a controller that can neither confirm nor refuse.
// They come without Retry-After: the caller is to ask another controller, not this one again.
const NoClearAnswer = "no clear answer here: ask another controller"

// Server keeps the contact lease of one controller. It has a lock of its own, so that a
// disk that hangs does not hang the answers.
type Server struct {
	replica *registerserver.Replica
	// catchUp follows what an acceptor has accepted and this process does not follow.
	catchUp func(accepted contact.Versions)

	// lock guards the fields below.
	lock  sync.Mutex
	lease *contact.Lease
	// sets are those that the lease was last checked against.
	sets messages.RegisterValue
	// requestedAt is when the last round began; zero before the first.
	requestedAt clock.Instant
	// catchingUp is set while a newer value is being looked for.
	catchingUp bool
}

// New makes the server of a controller whose lease was never renewed, and registers its
// answer to other controllers' rounds.
func New(replica *registerserver.Replica, catchUp func(accepted contact.Versions)) *Server {
	s := &Server{replica: replica, catchUp: catchUp, lease: contact.New()}
	process.Handle(replica.Node.Runtime, messages.KindContact, func(_ *messages.ContactRequest) (*messages.ContactResponse, error) {
		return s.accepted(), nil
	})
	return s
}

// accepted is what this process's own acceptor has accepted.
func (s *Server) accepted() *messages.ContactResponse {
	record := s.replica.Record()
	return &messages.ContactResponse{Disk: record.Disk, SetEpoch: record.Value.SetEpoch, Generation: record.Value.Current.Generation}
}

// Followed is what this process follows of the register.
func (s *Server) Followed() contact.Versions {
	return contact.Versions{SetEpoch: s.replica.Known().SetEpoch, Generation: s.replica.Node.Generation()}
}

// Sets gives the acceptor sets that the lease was last checked against.
func (s *Server) Sets() messages.RegisterValue {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.sets
}

// Valid tells whether the contact lease is valid. It never waits.
func (s *Server) Valid() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lease.Valid(&s.sets, clock.Now())
}

// Await is Valid for callers that may wait up to half of constants.ContactTimeout: after a
// start or a freeze one round decides whether the process is cut off at all.
func (s *Server) Await() bool {
	if s.Valid() {
		return true
	}
	if s.roundOverdue() {
		s.Round()
	}
	s.lock.Lock()
	end := s.requestedAt.Add(constants.ContactTimeout / 2)
	s.lock.Unlock()
	for !s.Valid() {
		if clock.Now() > end {
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

// Round asks all acceptors, this process's own among them. It does not wait for others.
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

// handleResponse takes one acceptor's response to a round that began at sentAt. Where the
// acceptor is ahead, the newer value is looked for; until it is followed, that acceptor
// does not renew the lease.
func (s *Server) handleResponse(member messages.Member, sentAt clock.Instant, resp *messages.ContactResponse) {
	// The response counts for the disk that gave it: an emptied machine is another acceptor.
	member.Disk = resp.Disk
	accepted, followed := contact.Versions{SetEpoch: resp.SetEpoch, Generation: resp.Generation}, s.Followed()
	s.lock.Lock()
	ahead := s.lease.Observe(member, sentAt, accepted, followed)
	begin := ahead && !s.catchingUp
	s.catchingUp = s.catchingUp || begin
	s.lock.Unlock()
	if begin {
		go s.catchUpOnce(accepted)
	}
}

// catchUpOnce follows a value, whose proposer is given the time to spread it first.
func (s *Server) catchUpOnce(accepted contact.Versions) {
	clock.Sleep(constants.PushTimeout / 2)
	s.catchUp(accepted)
	s.lock.Lock()
	s.catchingUp = false
	s.lock.Unlock()
	s.Round()
}

// WhileValid runs work that may end in an unknown outcome, and stops waiting for it once
// the contact lease has run out: the work goes on, and false sends its caller elsewhere.
func WhileValid[Result any](s *Server, work func() Result) (Result, bool) {
	results := make(chan Result, 1)
	go func() { results <- work() }()
	for {
		select {
		case result := <-results:
			return result, true
		case <-clock.After(constants.TickPeriod):
			if !s.Valid() {
				var none Result
				return none, false
			}
		}
	}
}
