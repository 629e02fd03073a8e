package store

import (
	"math/rand"
	"strings"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// leaderTimeout is how long a holder may say nothing before others ask for its
// duty (ours): its hold ends about then anyway.
const leaderTimeout = constants.LeaseDuration - constants.LeaseSafetyMargin

// campaign keeps the duty while we hold it and asks for it while nobody does.
func (s *Server) campaign() {
	for {
		select {
		case <-s.Node.Stop:
			return
		case <-clock.After(s.campaignStep()):
		}
	}
}

// campaignStep does what is due and gives the time until the next step.
func (s *Server) campaignStep() clock.Duration {
	if current := s.current(); current != nil {
		return s.renew(current)
	}
	s.lock.Lock()
	announcement, toldAt, readAt := s.announced, s.announcedAt, s.lastRead
	s.lock.Unlock()
	now := clock.Now()
	if toldAt > 0 && now.Sub(toldAt) < leaderTimeout && announcement.Address != s.Node.Self.Address {
		return constants.TickPeriod * 2
	}
	if now.Sub(readAt) > constants.LeaseRenewPeriod || readAt == 0 {
		if !s.readRegister() {
			return constants.TickPeriod * 4
		}
	}
	if !s.eligible() || s.yields(now) {
		return constants.TickPeriod * 4
	}
	return s.campaignOnce()
}

// eligible tells whether we may hold the duty: only a member of the set has all
// the records, and one that is being emptied should not begin anew.
func (s *Server) eligible() bool {
	s.lock.Lock()
	value := s.value
	s.lock.Unlock()
	if s.draining.Load() || s.isYielding() {
		return false
	}
	for _, name := range value.Retired {
		if name == s.Node.Self.Name {
			return false
		}
	}
	if len(value.Stores) == 0 {
		return len(s.firstStores()) > 0
	}
	for _, member := range value.Stores {
		if register.Identity(member) == register.Identity(s.member()) {
			return true
		}
	}
	return false
}

// firstStores proposes the set of the first start: one store in each zone as far
// as that goes, as many as bear the fault budget.
func (s *Server) firstStores() []messages.Member {
	size := 2*s.budget() + 1
	known := []messages.Member{s.member()}
	for _, entry := range s.Node.Live(membership.RoleStore) {
		known = append(known, messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone})
	}
	// Wait for the others as long as the start may take.
	if len(known) < size && clock.Now().Sub(s.startedAt) < constants.BootstrapWait {
		return nil
	}
	var chosen []messages.Member
	taken, zones := map[string]bool{}, map[string]bool{}
	for _, spread := range []bool{true, false} {
		for _, member := range known {
			if len(chosen) < size && !taken[member.Name] && (!spread || !zones[member.Zone]) {
				taken[member.Name], zones[member.Zone] = true, true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}

// readRegister learns sets and duty from a controller.
func (s *Server) readRegister() bool {
	for _, address := range s.controllers() {
		resp := &messages.RegisterResponse{}
		if transport.Call(s.Node.Transport, address, messages.KindRegisterRead, &messages.Ack{}, resp, constants.CallTimeout) != nil || !resp.Applied {
			continue
		}
		s.lock.Lock()
		s.value, s.lastRead = resp.Value, clock.Now()
		s.lock.Unlock()
		return true
	}
	return false
}

func (s *Server) controllers() []string {
	var near, far []string
	for _, entry := range s.Node.Live(membership.RoleController) {
		if entry.Zone == s.Node.Self.Zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	rand.Shuffle(len(far), func(left, right int) { far[left], far[right] = far[right], far[left] })
	addresses := append(near, far...)
	if len(addresses) == 0 {
		return s.Node.Settings.SeedAddresses(constants.PortController)
	}
	return addresses
}

// requestLease puts a question to every acceptor and tells whether a majority granted it.
// It does not wait for those that stay silent once the others have decided.
func (s *Server) requestLease(req messages.LeaseRequest) (granted bool, latest uint64) {
	s.lock.Lock()
	acceptors := s.value.Acceptors
	s.sequence++
	req.Sequence = s.sequence
	s.lock.Unlock()
	type heard struct {
		identity string
		answer   messages.LeaseResponse
		failed   bool
	}
	responses := make(chan heard, len(acceptors))
	for _, member := range acceptors {
		go func() {
			result := heard{identity: register.Identity(member)}
			result.failed = transport.Call(s.Node.Transport, member.Address, messages.KindLease, &req, &result.answer, constants.LeaseRenewPeriod) != nil
			responses <- result
		}()
	}
	answered := map[string]bool{}
	for range acceptors {
		result := <-responses
		if result.failed {
			continue
		}
		latest = max(latest, result.answer.Epoch)
		answered[result.identity] = result.answer.Granted
		if register.Majority(acceptors, answered) {
			return true, latest
		}
	}
	return false, latest
}

// renew extends our hold; it is given up when it can't be.
func (s *Server) renew(current *term) clock.Duration {
	sentAt := clock.Now()
	granted, latest := s.requestLease(messages.LeaseRequest{Candidate: s.Node.Self.Name, Incarnation: s.Node.Self.Incarnation, Epoch: current.leadership.Epoch})
	if granted && latest <= current.leadership.Epoch {
		s.lock.Lock()
		s.lease.Renewed(sentAt)
		s.lock.Unlock()
	}
	switch {
	case latest > current.leadership.Epoch:
		current.close("the register names a later epoch")
	case !s.holdsLease():
		current.close("hold ran out")
	}
	return max(constants.LeaseRenewPeriod-clock.Now().Sub(sentAt), constants.TickPeriod)
}

func (s *Server) release() {
	s.lock.Lock()
	s.lease.Revoke()
	epoch := s.value.Leadership.Epoch
	s.lock.Unlock()
	s.requestLease(messages.LeaseRequest{Candidate: s.Node.Self.Name, Incarnation: s.Node.Self.Incarnation, Epoch: epoch, Release: true})
}

// campaignOnce asks for the duty, and takes it in the register once a majority grants
// the hold.
func (s *Server) campaignOnce() clock.Duration {
	s.lock.Lock()
	value := s.value
	s.lock.Unlock()
	backoff := constants.TickPeriod*3 + clock.Duration(rand.Int63n(int64(constants.LeaseRenewPeriod)))
	sentAt := clock.Now()
	own := s.Node.Self
	granted, _ := s.requestLease(messages.LeaseRequest{Candidate: own.Name, Incarnation: own.Incarnation, Epoch: value.Leadership.Epoch})
	if !granted {
		// Two candidates must not keep each other out by halves.
		s.release()
		return backoff
	}
	stores := value.Stores
	if len(stores) == 0 {
		stores = s.firstStores()
	}
	change := &messages.RegisterChangeRequest{Campaign: true, ExpectEpoch: value.Leadership.Epoch, Stores: stores,
		Holder: messages.Leadership{Holder: own.Name, Incarnation: own.Incarnation, Address: own.Address}}
	changed, known := s.changeRegister(change)
	if !known || !changed.Applied {
		s.release()
		return backoff
	}
	s.lock.Lock()
	s.value, s.lastRead = changed.Value, clock.Now()
	s.lease.Renewed(sentAt)
	next := newTerm(s, changed.Value.Leadership, changed.Value.Stores, 1)
	s.term = next
	s.lock.Unlock()
	var names []string
	for _, member := range changed.Value.Stores {
		names = append(names, member.Name)
	}
	s.Node.Log.Info("duty taken", "epoch", next.leadership.Epoch, "stores", strings.Join(names, ","))
	go next.takeOver()
	return constants.TickPeriod
}

// changeRegister has a controller change the register; known is false where the outcome
// can't be told.
func (s *Server) changeRegister(change *messages.RegisterChangeRequest) (*messages.RegisterResponse, bool) {
	for _, address := range s.controllers() {
		resp := &messages.RegisterResponse{}
		if transport.Call(s.Node.Transport, address, messages.KindRegisterChange, change, resp, constants.RegisterTimeout) == nil {
			return resp, true
		}
	}
	return nil, false
}
