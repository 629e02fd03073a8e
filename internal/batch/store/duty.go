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

// holderQuiet is how long a holder may say nothing before others ask for its
// duty (ours): its hold ends about then anyway.
const holderQuiet = constants.HoldTime - constants.HoldMargin

// campaign keeps the duty while we hold it and asks for it while nobody does.
func (server *Server) campaign() {
	for {
		select {
		case <-server.Node.Stop:
			return
		case <-clock.After(server.step()):
		}
	}
}

// step does what is due and gives the time until the next step.
func (server *Server) step() clock.Span {
	if current := server.current(); current != nil {
		return server.renew(current)
	}
	server.lock.Lock()
	told, toldAt, readAt := server.told, server.toldAt, server.read
	server.lock.Unlock()
	now := clock.Now()
	if toldAt > 0 && now.Since(toldAt) < holderQuiet && told.Address != server.Node.Own.Address {
		return constants.TickPeriod * 2
	}
	if now.Since(readAt) > constants.HoldRenewal || readAt == 0 {
		if !server.readRegister() {
			return constants.TickPeriod * 4
		}
	}
	if !server.eligible() || server.defers(now) {
		return constants.TickPeriod * 4
	}
	return server.seekDuty()
}

// eligible tells whether we may hold the duty: only a member of the set has all
// the records, and one that is being emptied should not begin anew.
func (server *Server) eligible() bool {
	server.lock.Lock()
	value := server.value
	server.lock.Unlock()
	if server.leaving.Load() || server.rests() {
		return false
	}
	for _, name := range value.Retired {
		if name == server.Node.Own.Name {
			return false
		}
	}
	if len(value.Stores) == 0 {
		return len(server.firstStores()) > 0
	}
	for _, member := range value.Stores {
		if register.Identity(member) == register.Identity(server.member()) {
			return true
		}
	}
	return false
}

// firstStores proposes the set of the first start: one store in each zone as far
// as that goes, as many as bear the fault budget.
func (server *Server) firstStores() []messages.Member {
	size := 2*server.budget() + 1
	known := []messages.Member{server.member()}
	for _, entry := range server.Node.Live(membership.RoleStore) {
		known = append(known, messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone})
	}
	// Wait for the others as long as the start may take.
	if len(known) < size && clock.Now().Since(server.begun) < constants.FirstMeeting {
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
func (server *Server) readRegister() bool {
	for _, address := range server.controllers() {
		answer := &messages.DutyChanged{}
		if transport.Ask(server.Node.Wire, address, messages.KindRegisterRead, &messages.Nothing{}, answer, constants.CallTime) != nil || !answer.Done {
			continue
		}
		server.lock.Lock()
		server.value, server.read = answer.Value, clock.Now()
		server.lock.Unlock()
		return true
	}
	return false
}

func (server *Server) controllers() []string {
	var near, far []string
	for _, entry := range server.Node.Live(membership.RoleController) {
		if entry.Zone == server.Node.Own.Zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	rand.Shuffle(len(far), func(left, right int) { far[left], far[right] = far[right], far[left] })
	addresses := append(near, far...)
	if len(addresses) == 0 {
		return server.Node.Settings.SeedAddresses(constants.PortController)
	}
	return addresses
}

// ask puts a question to every acceptor and tells whether a majority granted it.
// It does not wait for those that stay silent once the others have decided.
func (server *Server) ask(question messages.HoldAsk) (granted bool, latest uint64) {
	server.lock.Lock()
	acceptors := server.value.Acceptors
	server.turn++
	question.Turn = server.turn
	server.lock.Unlock()
	type heard struct {
		identity string
		answer   messages.HoldAnswer
		failed   bool
	}
	answers := make(chan heard, len(acceptors))
	for _, member := range acceptors {
		go func() {
			one := heard{identity: register.Identity(member)}
			one.failed = transport.Ask(server.Node.Wire, member.Address, messages.KindAsk, &question, &one.answer, constants.HoldRenewal) != nil
			answers <- one
		}()
	}
	answered := map[string]bool{}
	for range acceptors {
		one := <-answers
		if one.failed {
			continue
		}
		latest = max(latest, one.answer.Epoch)
		answered[one.identity] = one.answer.Granted
		if register.Majority(acceptors, answered) {
			return true, latest
		}
	}
	return false, latest
}

// renew extends our hold; it is given up when it can't be.
func (server *Server) renew(current *term) clock.Span {
	asked := clock.Now()
	granted, latest := server.ask(messages.HoldAsk{Candidate: server.Node.Own.Name, Life: server.Node.Own.Life, Epoch: current.duty.Epoch})
	if granted && latest <= current.duty.Epoch {
		server.lock.Lock()
		server.hold.Renewed(asked)
		server.lock.Unlock()
	}
	switch {
	case latest > current.duty.Epoch:
		current.end("the register names a later epoch")
	case !server.holds():
		current.end("hold ran out")
	}
	return max(constants.HoldRenewal-clock.Now().Since(asked), constants.TickPeriod)
}

func (server *Server) release() {
	server.lock.Lock()
	server.hold.Drop()
	epoch := server.value.Duty.Epoch
	server.lock.Unlock()
	server.ask(messages.HoldAsk{Candidate: server.Node.Own.Name, Life: server.Node.Own.Life, Epoch: epoch, Release: true})
}

// seekDuty asks for the duty, and takes it in the register once a majority grants
// the hold.
func (server *Server) seekDuty() clock.Span {
	server.lock.Lock()
	value := server.value
	server.lock.Unlock()
	pause := constants.TickPeriod*3 + clock.Span(rand.Int63n(int64(constants.HoldRenewal)))
	asked := clock.Now()
	own := server.Node.Own
	granted, _ := server.ask(messages.HoldAsk{Candidate: own.Name, Life: own.Life, Epoch: value.Duty.Epoch})
	if !granted {
		// Two candidates must not keep each other out by halves.
		server.release()
		return pause
	}
	stores := value.Stores
	if len(stores) == 0 {
		stores = server.firstStores()
	}
	change := &messages.DutyChange{Take: true, ExpectEpoch: value.Duty.Epoch, Stores: stores,
		Holder: messages.Duty{Holder: own.Name, Life: own.Life, Address: own.Address}}
	changed, known := server.changeDuty(change)
	if !known || !changed.Done {
		server.release()
		return pause
	}
	server.lock.Lock()
	server.value, server.read = changed.Value, clock.Now()
	server.hold.Renewed(asked)
	next := newTerm(server, changed.Value.Duty, changed.Value.Stores, 1)
	server.term = next
	server.lock.Unlock()
	var names []string
	for _, member := range changed.Value.Stores {
		names = append(names, member.Name)
	}
	server.Node.Log.Info("duty taken", "epoch", next.duty.Epoch, "stores", strings.Join(names, ","))
	go next.takeOver()
	return constants.TickPeriod
}

// changeDuty has a controller change the register; known is false where the outcome
// can't be told.
func (server *Server) changeDuty(change *messages.DutyChange) (*messages.DutyChanged, bool) {
	for _, address := range server.controllers() {
		answer := &messages.DutyChanged{}
		if transport.Ask(server.Node.Wire, address, messages.KindDutyChange, change, answer, constants.RegisterTime) == nil {
			return answer, true
		}
	}
	return nil, false
}
