package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// takeOver makes a new epoch ready: raise it at all stores but the fault budget,
// go on from the best copy, and make one record of our own durable.
func (term *term) takeOver() {
	server := term.server
	own := register.Identity(server.member())
	var copies map[string]messages.Raised
	for {
		copies = term.raise()
		if lots.Enough(len(term.press.Members), len(copies), server.budget()) && copies[own].Granted {
			break
		}
		if term.over() {
			return
		}
		clock.Sleep(constants.TickPeriod * 2)
	}
	best := lots.Best(copies)
	if best != own && !term.catchUp(best, copies) {
		term.end("best copy can't be read")
		return
	}
	extent := server.Store.Extent()
	last := extent.Last
	term.lock.Lock()
	term.press = lots.NewPress(term.duty.Epoch, term.press.Members, server.budget(), last+1)
	term.applied = last
	if err := term.rebuild(); err != nil {
		term.lock.Unlock()
		server.Node.Log.Error("records can't be read", "why", err.Error())
		term.end("records can't be read")
		return
	}
	term.openDispatcher(last + 1)
	for _, member := range term.press.Members {
		common := last
		if one, known := copies[register.Identity(member)]; known {
			common = lots.Common(extent, lots.ExtentOf(&one))
		}
		if register.Identity(member) == own {
			common = last
		}
		term.feed(member, common)
	}
	index := term.submit(messages.Record{Kind: messages.RecordNothing})
	term.lock.Unlock()
	for !term.durable(index, constants.HoldTime) {
		if term.over() {
			return
		}
	}
	term.lock.Lock()
	term.serving = true
	lotList := len(term.book.Lots())
	term.ring()
	term.lock.Unlock()
	server.Node.Log.Info("duty served", "epoch", term.duty.Epoch, "records", last, "lots", lotList)
	go clock.Every(constants.HoldRenewal, term.stop, term.tell)
	go clock.Every(constants.GossipPeriod/2, term.stop, term.tendSet)
	go clock.Every(constants.GossipPeriod, term.stop, term.forget)
	go term.tendItems()
	go term.tendLag()
	term.tell()
}

// raise asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
func (term *term) raise() map[string]messages.Raised {
	server := term.server
	type heard struct {
		identity string
		answer   messages.Raised
	}
	members := term.press.Members
	answers := make(chan heard, len(members))
	for _, member := range members {
		go func() {
			question := &messages.Raise{Epoch: term.duty.Epoch, Disk: member.Disk}
			one := heard{identity: register.Identity(member)}
			var err error
			if member.Address == server.Node.Own.Address {
				one.answer, err = server.Store.Raise(question)
			} else {
				err = transport.Ask(server.Node.Wire, member.Address, messages.KindRaise, question, &one.answer, constants.RoundTime)
			}
			if err != nil {
				one.answer.Granted = false
			}
			answers <- one
		}()
	}
	copies := map[string]messages.Raised{}
	for range members {
		one := <-answers
		if one.answer.Granted {
			copies[one.identity] = one.answer
		}
		if lots.Enough(len(members), len(copies), server.budget()) && copies[register.Identity(server.member())].Granted {
			break
		}
	}
	return copies
}

// catchUp cuts our own copy where it parts from the best one and fetches the rest.
func (term *term) catchUp(best string, copies map[string]messages.Raised) bool {
	server := term.server
	address := ""
	for _, member := range term.press.Members {
		if register.Identity(member) == best {
			address = member.Address
		}
	}
	target := copies[best]
	next := lots.Common(server.Store.Extent(), lots.ExtentOf(&target)) + 1
	for next <= target.Last {
		if term.over() {
			return false
		}
		fetched := &messages.Fetched{}
		if transport.Ask(server.Node.Wire, address, messages.KindFetch, &messages.Fetch{First: next}, fetched, constants.BulkCallTime) != nil || len(fetched.Records) == 0 {
			return false
		}
		order := &messages.Append{Epoch: term.duty.Epoch, Disk: server.Store.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: server.Store.EpochAt(next - 1), Records: fetched.Records,
			Base: fetched.Base, BaseEpoch: fetched.BaseEpoch}
		answer, err := server.Store.Append(order)
		if err != nil || !answer.Granted {
			return false
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return true
}

// rebuild makes the book from all records. The lock is held.
func (term *term) rebuild() error {
	book, err := term.server.Store.Book()
	if err != nil {
		return err
	}
	term.book = book
	for _, lot := range term.book.Lots() {
		lot.Known = term.begun
	}
	return nil
}

// giveUp frees the hold and tells the other stores, so that one of them takes the
// duty at once.
func (term *term) giveUp() {
	term.server.release()
	told := &messages.HolderTold{Duty: term.duty, Over: true}
	term.server.Node.Spread(term.server.Node.Live(membership.RoleStore), messages.KindHolderTold, told, constants.HoldRenewal, nil)
}

// tell makes known who holds the duty: to stores each time, since one that does not hear
// it for a hold's length asks for the duty; to the gateways in view while it is news, and
// then now and then. Whoever was missed learns it by asking any store.
func (term *term) tell() {
	if !term.server.holds() {
		return
	}
	peers := term.server.Node.Live(membership.RoleStore)
	if count := term.tells.Add(1); count <= constants.HolderReminder || count%constants.HolderReminder == 0 {
		peers = append(peers, term.server.Node.Live(membership.RoleGateway)...)
	}
	term.server.Node.Spread(peers, messages.KindHolderTold, &messages.HolderTold{Duty: term.duty}, constants.HoldRenewal, nil)
}
