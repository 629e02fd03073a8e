package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// errTakeover is the error of a takeover that can't be completed.
var errTakeover = errs.Define("takeover failed")

// TakeOver prepares the term to serve. It fences all stores except at most the fault budget,
// adopts the best copy of the records, and commits a record of its own epoch, which also commits
// all records before it. The term starts to serve only after that.
func (t *Term) TakeOver() {
	copies, lost, fenced := t.fenceQuorum()
	if !fenced {
		return
	}
	if err := t.adoptBestCopy(copies); err != nil {
		t.process.Node.Log.Error("failed to adopt the best copy of the records", "epoch", t.leadership.Epoch, "err", err.Error())
		t.Close("best copy can't be adopted")
		return
	}
	index, err := t.replicateFrom(copies)
	if err != nil {
		t.process.Node.Log.Error("failed to rebuild the job table from the records", "epoch", t.leadership.Epoch, "err", err.Error())
		t.Close("records can't be read")
		return
	}
	t.recordLostDisks(lost)
	progress := t.newWaitLog("takeover is waiting for stores to sync records")
	for !t.awaitCommit(index, constants.LeaseDuration) {
		if t.Closed() {
			return
		}
		// Too few members may be left for the usual number of copies: the set has to change first.
		t.markLostDisks()
		t.maintainSet()
		progress.report(t.membersWith(index))
	}
	t.beginServing(index - 1)
}

// fenceQuorum fences enough stores against earlier epochs. It returns the response of each
// fenced store, including this process's own, and the members whose disks are lost. fenced is
// false if the term ended first.
func (t *Term) fenceQuorum() (copies map[string]messages.FenceResponse, lost map[string]bool, fenced bool) {
	progress := t.newWaitLog("takeover is waiting for stores to be fenced")
	for !t.Closed() {
		if copies = t.fenceMembers(); t.enoughFenced(copies, nil) {
			return copies, nil, true
		}
		// The register may list more members with lost disks than the fault budget, since removing
		// them requires a separate change.
		if lost = t.findLostDisks(); t.enoughFenced(copies, lost) {
			return copies, lost, true
		}
		progress.report(func(identity string) bool { return copies[identity].Granted || lost[identity] })
		clock.Sleep(constants.TickPeriod * 2)
	}
	return nil, nil, false
}

// enoughFenced reports whether the copies contain every committed record and the previous leader
// can't commit any more: this process's own store is fenced, and so are either all stores except at
// most the fault budget, or all except those whose disks are lost, which have no records and never
// grant a request.
func (t *Term) enoughFenced(copies map[string]messages.FenceResponse, lost map[string]bool) bool {
	members := t.records.replicator.Members
	own := register.Identity(t.process.Election.Member())
	accounted := 0
	for _, member := range members {
		if identity := register.Identity(member); copies[identity].Granted || lost[identity] {
			accounted++
		}
	}
	return copies[own].Granted && (replication.EnoughFenced(len(members), len(copies), t.process.budget()) || accounted == len(members))
}

// fenceMembers sends a fence request to every store of the set. It returns once enough stores have
// responded; stores that respond later are still sent records.
func (t *Term) fenceMembers() map[string]messages.FenceResponse {
	type result struct {
		identity string
		resp     messages.FenceResponse
		err      error
	}
	members := t.records.replicator.Members
	results := make(chan result, len(members))
	for _, member := range members {
		go func() {
			resp, err := t.fence(member)
			results <- result{register.Identity(member), resp, err}
		}()
	}
	copies := map[string]messages.FenceResponse{}
	for range members {
		r := <-results
		if r.err == nil && r.resp.Granted {
			copies[r.identity] = r.resp
		}
		if t.enoughFenced(copies, nil) {
			break
		}
	}
	return copies
}

// fence requests one store to reject requests of earlier epochs.
func (t *Term) fence(member messages.Member) (messages.FenceResponse, error) {
	req := &messages.FenceRequest{Epoch: t.leadership.Epoch, Disk: member.Disk}
	if member.Address == t.process.Node.Self.Address {
		return t.process.Log.Fence(req)
	}
	resp := messages.FenceResponse{}
	err := transport.Call(t.process.Node.Transport, member.Address, messages.KindFence, req, &resp, constants.RoundTimeout)
	return resp, err
}

// adoptBestCopy truncates this process's own copy where it diverges from the best copy, and fetches
// the rest.
func (t *Term) adoptBestCopy(copies map[string]messages.FenceResponse) error {
	best := replication.BestCopy(copies)
	if best == register.Identity(t.process.Election.Member()) {
		return nil
	}
	address := ""
	for _, member := range t.records.replicator.Members {
		if register.Identity(member) == best {
			address = member.Address
		}
	}
	log, target := t.process.Log, copies[best]
	next := replication.CommonIndex(log.Extent(), replication.ExtentOfFence(&target)) + 1
	for next <= target.Last {
		if t.Closed() {
			return errTakeover.New("term ended")
		}
		fetched := &messages.FetchResponse{}
		if err := transport.Call(t.process.Node.Transport, address, messages.KindFetch, &messages.FetchRequest{First: next}, fetched, constants.BulkCallTimeout); err != nil {
			return errTakeover.Wrap(err, "fetch from "+address)
		}
		if len(fetched.Records) == 0 {
			return errTakeover.New("empty fetch response from " + address)
		}
		resp, err := log.Append(&messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: log.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: log.EpochAt(next - 1), Records: fetched.Records, Base: fetched.Base, BaseEpoch: fetched.BaseEpoch})
		if err != nil {
			return errTakeover.Wrap(err, "append to own store")
		}
		if !resp.Granted {
			return errTakeover.New("own store rejected the records")
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return nil
}

// replicateFrom rebuilds the job table, starts to send records to each member after the last one
// that agrees with this process's copy, and returns the index of the first record of this epoch.
func (t *Term) replicateFrom(copies map[string]messages.FenceResponse) (index int64, err error) {
	extent, own := t.process.Log.Extent(), register.Identity(t.process.Election.Member())
	t.lock.Lock()
	defer t.lock.Unlock()
	members := t.records.replicator.Members
	t.records.replicator = replication.NewReplicator(t.leadership.Epoch, members, t.process.budget(), extent.Last+1)
	t.records.applied = extent.Last
	if err = t.rebuildLocked(); err != nil {
		return 0, err
	}
	t.openDispatcher(extent.Last + 1)
	for _, member := range members {
		identity, common := register.Identity(member), extent.Last
		if response, known := copies[identity]; known && identity != own {
			common = replication.CommonIndex(extent, replication.ExtentOfFence(&response))
		}
		t.startFeed(member, common)
	}
	return t.appendRecord(messages.Record{Kind: messages.RecordNoop}), nil
}

// rebuildLocked rebuilds the job table from all records. The lock is held.
func (t *Term) rebuildLocked() error {
	jobs, err := t.process.Log.Jobs()
	if err != nil {
		return err
	}
	t.jobs = jobs
	for _, job := range t.jobs.Jobs() {
		job.KnownSince = t.lifecycle.startedAt
	}
	return nil
}

// beginServing makes the term accept calls, and starts its loops, which end with the term. last is
// the index of the last record of earlier epochs.
func (t *Term) beginServing(last int64) {
	t.lock.Lock()
	t.serving = true
	jobs := len(t.jobs.Jobs())
	t.notifyLocked()
	t.lock.Unlock()
	t.process.Node.Log.Info("leadership takeover completed", "epoch", t.leadership.Epoch, "records", last, "jobs", jobs)
	go clock.Every(constants.LeaseRenewPeriod, t.lifecycle.stop, t.announce)
	t.maintainSet()
	go clock.Every(constants.GossipPeriod, t.lifecycle.stop, t.forgetExpiredJobs)
	go t.expireItems()
	go t.watchOwnLag()
	relaxCollector()
	t.announce()
}

// maintainSet starts, once per term, the loops that keep the store set complete. They start before
// the term serves if nothing can be committed with the current set.
func (t *Term) maintainSet() {
	t.feeds.maintained.Do(func() {
		go clock.Every(constants.GossipPeriod/2, t.lifecycle.stop, t.reconcileSet)
		go clock.Every(constants.GossipPeriod/4, t.lifecycle.stop, t.removeLostDisks)
		go clock.Every(constants.GossipPeriod, t.lifecycle.stop, t.removeDeparted)
	})
}

// Resign releases the lease and notifies the other stores, so that one of them campaigns at once.
func (t *Term) Resign() {
	t.process.Election.ReleaseLease()
	node := t.process.Node
	announcement := &messages.LeaderAnnouncement{Leadership: t.leadership, Resigned: true}
	node.Multicast(node.Live(membership.RoleStore), messages.KindLeaderAnnouncement, announcement, constants.LeaseRenewPeriod, nil)
}

// announce sends the leadership to all stores, since a store campaigns after about the duration of a
// lease without an announcement, and to the known gateways in the first LeaderReminderRounds rounds and
// every LeaderReminderRounds-th one after that. A process that was missed can ask any store for the leader.
func (t *Term) announce() {
	if !t.process.Election.HoldsLease() {
		return
	}
	node := t.process.Node
	peers := node.Live(membership.RoleStore)
	if count := t.lifecycle.announcements.Add(1); count <= constants.LeaderReminderRounds || count%constants.LeaderReminderRounds == 0 {
		peers = append(peers, node.Live(membership.RoleGateway)...)
	}
	node.Multicast(peers, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: t.leadership}, constants.LeaseRenewPeriod, nil)
}
