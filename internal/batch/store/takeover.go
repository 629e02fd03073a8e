package store

import (
	"lemonarch/internal/batch/replication"
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
		copies = t.fenceMembers()
		if replication.EnoughFenced(len(t.replicator.Members), len(copies), server.budget()) && copies[own].Granted {
			break
		}
		if t.closed() {
			return
		}
		clock.Sleep(constants.TickPeriod * 2)
	}
	best := replication.BestCopy(copies)
	if best != own && !t.catchUp(best, copies) {
		t.close("best copy can't be read")
		return
	}
	extent := server.Log.Extent()
	last := extent.Last
	t.lock.Lock()
	t.replicator = replication.NewReplicator(t.leadership.Epoch, t.replicator.Members, server.budget(), last+1)
	t.applied = last
	if err := t.rebuild(); err != nil {
		t.lock.Unlock()
		server.Node.Log.Error("records can't be read", "why", err.Error())
		t.close("records can't be read")
		return
	}
	t.openDispatcher(last + 1)
	for _, member := range t.replicator.Members {
		common := last
		if response, known := copies[register.Identity(member)]; known {
			common = replication.CommonIndex(extent, replication.ExtentOfFence(&response))
		}
		if register.Identity(member) == own {
			common = last
		}
		t.startFeed(member, common)
	}
	index := t.appendRecord(messages.Record{Kind: messages.RecordNoop})
	t.lock.Unlock()
	for !t.awaitCommit(index, constants.LeaseDuration) {
		if t.closed() {
			return
		}
	}
	t.lock.Lock()
	t.serving = true
	jobs := len(t.jobs.Jobs())
	t.notifyLocked()
	t.lock.Unlock()
	server.Node.Log.Info("duty served", "epoch", t.leadership.Epoch, "records", last, "lots", jobs)
	go clock.Every(constants.LeaseRenewPeriod, t.stop, t.announce)
	go clock.Every(constants.GossipPeriod/2, t.stop, t.reconcileSet)
	go clock.Every(constants.GossipPeriod, t.stop, t.forget)
	go t.expireItems()
	go t.watchOwnLag()
	t.announce()
}

// fenceMembers asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
func (t *term) fenceMembers() map[string]messages.FenceResponse {
	server := t.server
	type heard struct {
		identity string
		answer   messages.FenceResponse
	}
	members := t.replicator.Members
	responses := make(chan heard, len(members))
	for _, member := range members {
		go func() {
			req := &messages.FenceRequest{Epoch: t.leadership.Epoch, Disk: member.Disk}
			result := heard{identity: register.Identity(member)}
			var err error
			if member.Address == server.Node.Self.Address {
				result.answer, err = server.Log.Fence(req)
			} else {
				err = transport.Call(server.Node.Transport, member.Address, messages.KindFence, req, &result.answer, constants.RoundTimeout)
			}
			if err != nil {
				result.answer.Granted = false
			}
			responses <- result
		}()
	}
	copies := map[string]messages.FenceResponse{}
	for range members {
		result := <-responses
		if result.answer.Granted {
			copies[result.identity] = result.answer
		}
		if replication.EnoughFenced(len(members), len(copies), server.budget()) && copies[register.Identity(server.member())].Granted {
			break
		}
	}
	return copies
}

// catchUp cuts our own copy where it parts from the best one and fetches the rest.
func (t *term) catchUp(best string, copies map[string]messages.FenceResponse) bool {
	server := t.server
	address := ""
	for _, member := range t.replicator.Members {
		if register.Identity(member) == best {
			address = member.Address
		}
	}
	target := copies[best]
	next := replication.CommonIndex(server.Log.Extent(), replication.ExtentOfFence(&target)) + 1
	for next <= target.Last {
		if t.closed() {
			return false
		}
		fetched := &messages.FetchResponse{}
		if transport.Call(server.Node.Transport, address, messages.KindFetch, &messages.FetchRequest{First: next}, fetched, constants.BulkCallTimeout) != nil || len(fetched.Records) == 0 {
			return false
		}
		req := &messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: server.Log.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: server.Log.EpochAt(next - 1), Records: fetched.Records,
			Base: fetched.Base, BaseEpoch: fetched.BaseEpoch}
		resp, err := server.Log.Append(req)
		if err != nil || !resp.Granted {
			return false
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return true
}

// rebuild makes the book from all records. The lock is held.
func (t *term) rebuild() error {
	jobs, err := t.server.Log.Jobs()
	if err != nil {
		return err
	}
	t.jobs = jobs
	for _, job := range t.jobs.Jobs() {
		job.KnownSince = t.startedAt
	}
	return nil
}

// resign frees the hold and tells the other stores, so that one of them takes the
// duty at once.
func (t *term) resign() {
	t.server.release()
	announcement := &messages.LeaderAnnouncement{Leadership: t.leadership, Resigned: true}
	t.server.Node.Multicast(t.server.Node.Live(membership.RoleStore), messages.KindLeaderAnnouncement, announcement, constants.LeaseRenewPeriod, nil)
}

// announce makes known who holds the duty: to stores each time, since one that does not hear
// it for a hold's length asks for the duty; to the gateways in view while it is news, and
// then now and then. Whoever was missed learns it by asking any store.
func (t *term) announce() {
	if !t.server.holdsLease() {
		return
	}
	peers := t.server.Node.Live(membership.RoleStore)
	if count := t.announcements.Add(1); count <= constants.LeaderReminderRounds || count%constants.LeaderReminderRounds == 0 {
		peers = append(peers, t.server.Node.Live(membership.RoleGateway)...)
	}
	t.server.Node.Multicast(peers, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: t.leadership}, constants.LeaseRenewPeriod, nil)
}
