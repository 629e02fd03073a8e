package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// TakeOver makes a new epoch ready: raise it at all stores but the fault budget,
// go on from the best copy, and make one record of our own durable.
func (t *Term) TakeOver() {
	process := t.process
	own := register.Identity(process.Election.Member())
	var copies map[string]messages.FenceResponse
	for {
		copies = t.fenceMembers()
		if replication.EnoughFenced(len(t.records.replicator.Members), len(copies), process.budget()) && copies[own].Granted {
			break
		}
		if t.Closed() {
			return
		}
		clock.Sleep(constants.TickPeriod * 2)
	}
	best := replication.BestCopy(copies)
	if best != own && !t.catchUp(best, copies) {
		t.Close("best copy can't be read")
		return
	}
	extent := process.Log.Extent()
	last := extent.Last
	t.lock.Lock()
	t.records.replicator = replication.NewReplicator(t.leadership.Epoch, t.records.replicator.Members, process.budget(), last+1)
	t.records.applied = last
	if err := t.rebuild(); err != nil {
		t.lock.Unlock()
		process.Node.Log.Error("records can't be read", "err", err.Error())
		t.Close("records can't be read")
		return
	}
	t.openDispatcher(last + 1)
	for _, member := range t.records.replicator.Members {
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
		if t.Closed() {
			return
		}
	}
	t.lock.Lock()
	t.serving = true
	jobs := len(t.jobs.Jobs())
	t.notifyLocked()
	t.lock.Unlock()
	process.Node.Log.Info("duty served", "epoch", t.leadership.Epoch, "records", last, "lots", jobs)
	go clock.Every(constants.LeaseRenewPeriod, t.life.stop, t.announce)
	go clock.Every(constants.GossipPeriod/2, t.life.stop, t.reconcileSet)
	go clock.Every(constants.GossipPeriod, t.life.stop, t.forget)
	go t.expireItems()
	go t.watchOwnLag()
	t.announce()
}

// fenceMembers asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
func (t *Term) fenceMembers() map[string]messages.FenceResponse {
	process := t.process
	type heard struct {
		identity string
		answer   messages.FenceResponse
	}
	members := t.records.replicator.Members
	responses := make(chan heard, len(members))
	for _, member := range members {
		go func() {
			req := &messages.FenceRequest{Epoch: t.leadership.Epoch, Disk: member.Disk}
			result := heard{identity: register.Identity(member)}
			var err error
			if member.Address == process.Node.Self.Address {
				result.answer, err = process.Log.Fence(req)
			} else {
				err = transport.Call(process.Node.Transport, member.Address, messages.KindFence, req, &result.answer, constants.RoundTimeout)
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
		if replication.EnoughFenced(len(members), len(copies), process.budget()) && copies[register.Identity(process.Election.Member())].Granted {
			break
		}
	}
	return copies
}

// catchUp cuts our own copy where it parts from the best one and fetches the rest.
func (t *Term) catchUp(best string, copies map[string]messages.FenceResponse) bool {
	process := t.process
	address := ""
	for _, member := range t.records.replicator.Members {
		if register.Identity(member) == best {
			address = member.Address
		}
	}
	target := copies[best]
	next := replication.CommonIndex(process.Log.Extent(), replication.ExtentOfFence(&target)) + 1
	for next <= target.Last {
		if t.Closed() {
			return false
		}
		fetched := &messages.FetchResponse{}
		if transport.Call(process.Node.Transport, address, messages.KindFetch, &messages.FetchRequest{First: next}, fetched, constants.BulkCallTimeout) != nil || len(fetched.Records) == 0 {
			return false
		}
		req := &messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: process.Log.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: process.Log.EpochAt(next - 1), Records: fetched.Records,
			Base: fetched.Base, BaseEpoch: fetched.BaseEpoch}
		resp, err := process.Log.Append(req)
		if err != nil || !resp.Granted {
			return false
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return true
}

// rebuild makes the job table from all records. The lock is held.
func (t *Term) rebuild() error {
	jobs, err := t.process.Log.Jobs()
	if err != nil {
		return err
	}
	t.jobs = jobs
	for _, job := range t.jobs.Jobs() {
		job.KnownSince = t.life.startedAt
	}
	return nil
}

// Resign frees the hold and tells the other stores, so that one of them takes the
// leadership at once.
func (t *Term) Resign() {
	t.process.Election.ReleaseLease()
	announcement := &messages.LeaderAnnouncement{Leadership: t.leadership, Resigned: true}
	t.process.Node.Multicast(t.process.Node.Live(membership.RoleStore), messages.KindLeaderAnnouncement, announcement, constants.LeaseRenewPeriod, nil)
}

// announce makes known who holds the leadership: to stores each time, since one that does not hear
// it for a hold's length asks for the leadership; to the gateways in view while it is news, and
// then now and then. Whoever was missed learns it by asking any store.
func (t *Term) announce() {
	if !t.process.Election.HoldsLease() {
		return
	}
	peers := t.process.Node.Live(membership.RoleStore)
	if count := t.life.announcements.Add(1); count <= constants.LeaderReminderRounds || count%constants.LeaderReminderRounds == 0 {
		peers = append(peers, t.process.Node.Live(membership.RoleGateway)...)
	}
	t.process.Node.Multicast(peers, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: t.leadership}, constants.LeaseRenewPeriod, nil)
}
