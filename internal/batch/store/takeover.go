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
func (t *term) takeOver() {
	server := t.server
	own := register.Identity(server.member())
	var copies map[string]messages.FenceResponse
	for {
		copies = t.raise()
		if lots.Enough(len(t.press.Members), len(copies), server.budget()) && copies[own].Granted {
			break
		}
		if t.over() {
			return
		}
		clock.Sleep(constants.TickPeriod * 2)
	}
	best := lots.Best(copies)
	if best != own && !t.catchUp(best, copies) {
		t.end("best copy can't be read")
		return
	}
	extent := server.Store.Extent()
	last := extent.Last
	t.lock.Lock()
	t.press = lots.NewPress(t.duty.Epoch, t.press.Members, server.budget(), last+1)
	t.applied = last
	if err := t.rebuild(); err != nil {
		t.lock.Unlock()
		server.Node.Log.Error("records can't be read", "why", err.Error())
		t.end("records can't be read")
		return
	}
	t.openDispatcher(last + 1)
	for _, member := range t.press.Members {
		common := last
		if response, known := copies[register.Identity(member)]; known {
			common = lots.Common(extent, lots.ExtentOf(&response))
		}
		if register.Identity(member) == own {
			common = last
		}
		t.feed(member, common)
	}
	index := t.submit(messages.Record{Kind: messages.RecordNoop})
	t.lock.Unlock()
	for !t.durable(index, constants.LeaseDuration) {
		if t.over() {
			return
		}
	}
	t.lock.Lock()
	t.serving = true
	lotList := len(t.book.Lots())
	t.ring()
	t.lock.Unlock()
	server.Node.Log.Info("duty served", "epoch", t.duty.Epoch, "records", last, "lots", lotList)
	go clock.Every(constants.LeaseRenewPeriod, t.stop, t.tell)
	go clock.Every(constants.GossipPeriod/2, t.stop, t.tendSet)
	go clock.Every(constants.GossipPeriod, t.stop, t.forget)
	go t.tendItems()
	go t.tendLag()
	t.tell()
}

// raise asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
func (t *term) raise() map[string]messages.FenceResponse {
	server := t.server
	type heard struct {
		identity string
		answer   messages.FenceResponse
	}
	members := t.press.Members
	answers := make(chan heard, len(members))
	for _, member := range members {
		go func() {
			req := &messages.FenceRequest{Epoch: t.duty.Epoch, Disk: member.Disk}
			h := heard{identity: register.Identity(member)}
			var err error
			if member.Address == server.Node.Self.Address {
				h.answer, err = server.Store.Raise(req)
			} else {
				err = transport.Call(server.Node.Transport, member.Address, messages.KindFence, req, &h.answer, constants.RoundTimeout)
			}
			if err != nil {
				h.answer.Granted = false
			}
			answers <- h
		}()
	}
	copies := map[string]messages.FenceResponse{}
	for range members {
		h := <-answers
		if h.answer.Granted {
			copies[h.identity] = h.answer
		}
		if lots.Enough(len(members), len(copies), server.budget()) && copies[register.Identity(server.member())].Granted {
			break
		}
	}
	return copies
}

// catchUp cuts our own copy where it parts from the best one and fetches the rest.
func (t *term) catchUp(best string, copies map[string]messages.FenceResponse) bool {
	server := t.server
	address := ""
	for _, member := range t.press.Members {
		if register.Identity(member) == best {
			address = member.Address
		}
	}
	target := copies[best]
	next := lots.Common(server.Store.Extent(), lots.ExtentOf(&target)) + 1
	for next <= target.Last {
		if t.over() {
			return false
		}
		fetched := &messages.FetchResponse{}
		if transport.Call(server.Node.Transport, address, messages.KindFetch, &messages.FetchRequest{First: next}, fetched, constants.BulkCallTimeout) != nil || len(fetched.Records) == 0 {
			return false
		}
		order := &messages.AppendRequest{Epoch: t.duty.Epoch, Disk: server.Store.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: server.Store.EpochAt(next - 1), Records: fetched.Records,
			Base: fetched.Base, BaseEpoch: fetched.BaseEpoch}
		resp, err := server.Store.Append(order)
		if err != nil || !resp.Granted {
			return false
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return true
}

// rebuild makes the book from all records. The lock is held.
func (t *term) rebuild() error {
	book, err := t.server.Store.Book()
	if err != nil {
		return err
	}
	t.book = book
	for _, lot := range t.book.Lots() {
		lot.Known = t.begun
	}
	return nil
}

// giveUp frees the hold and tells the other stores, so that one of them takes the
// duty at once.
func (t *term) giveUp() {
	t.server.release()
	announcement := &messages.LeaderAnnouncement{Leadership: t.duty, Resigned: true}
	t.server.Node.Multicast(t.server.Node.Live(membership.RoleStore), messages.KindLeaderAnnouncement, announcement, constants.LeaseRenewPeriod, nil)
}

// tell makes known who holds the duty: to stores each time, since one that does not hear
// it for a hold's length asks for the duty; to the gateways in view while it is news, and
// then now and then. Whoever was missed learns it by asking any store.
func (t *term) tell() {
	if !t.server.holds() {
		return
	}
	peers := t.server.Node.Live(membership.RoleStore)
	if count := t.tells.Add(1); count <= constants.LeaderReminderRounds || count%constants.LeaderReminderRounds == 0 {
		peers = append(peers, t.server.Node.Live(membership.RoleGateway)...)
	}
	t.server.Node.Multicast(peers, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: t.duty}, constants.LeaseRenewPeriod, nil)
}
