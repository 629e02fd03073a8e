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

// errTakeover is the error of a term that can't begin to serve.
var errTakeover = errs.Define("takeover failed")

// TakeOver makes the epoch ready: it fences all stores but the fault budget, goes on from
// the best copy of the records, and has a record of its own epoch committed, which commits
// those before it. Only then the term serves.
func (t *Term) TakeOver() {
	copies, lost, fenced := t.fenceQuorum()
	if !fenced {
		return
	}
	if err := t.adoptBestCopy(copies); err != nil {
		t.process.Node.Log.Error("records can't be read", "epoch", t.leadership.Epoch, "err", err.Error())
		t.Close("best copy can't be read")
		return
	}
	index, err := t.replicateFrom(copies)
	if err != nil {
		t.process.Node.Log.Error("records can't be read", "epoch", t.leadership.Epoch, "err", err.Error())
		t.Close("records can't be read")
		return
	}
	t.noteLostDisks(lost)
	waiting := t.newWaitLog("takeover waits for copies")
	for !t.awaitCommit(index, constants.LeaseDuration) {
		if t.Closed() {
			return
		}
		// Too few may be left for as many copies as usual: the set has to change first.
		t.markLostDisks()
		t.maintainSet()
		waiting.report(t.membersWith(index))
	}
	t.beginServing(index - 1)
}

// fenceQuorum has enough stores refuse earlier epochs, and gives what each of them has, this
// process's own copy among them, and the members whose disks were found to be lost. It is false
// where the term ended before.
func (t *Term) fenceQuorum() (copies map[string]messages.FenceResponse, lost map[string]bool, fenced bool) {
	waiting := t.newWaitLog("takeover waits for stores")
	for !t.Closed() {
		if copies = t.fenceMembers(); t.enoughFenced(copies, nil) {
			return copies, nil, true
		}
		// The register may name more lost disks than the fault budget, since their removal takes
		// a change of its own.
		if lost = t.findLostDisks(); t.enoughFenced(copies, lost) {
			return copies, lost, true
		}
		waiting.report(func(identity string) bool { return copies[identity].Granted || lost[identity] })
		clock.Sleep(constants.TickPeriod * 2)
	}
	return nil, nil, false
}

// enoughFenced tells whether every committed record is among the copies, and the old leader
// can commit nothing more: all stores but the fault budget are fenced, this process's own among
// them; or all are but those whose disks are lost, which hold nothing and never grant anything.
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

// fenceMembers asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
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

// fence has one store refuse the orders of earlier epochs.
func (t *Term) fence(member messages.Member) (messages.FenceResponse, error) {
	req := &messages.FenceRequest{Epoch: t.leadership.Epoch, Disk: member.Disk}
	if member.Address == t.process.Node.Self.Address {
		return t.process.Log.Fence(req)
	}
	resp := messages.FenceResponse{}
	err := transport.Call(t.process.Node.Transport, member.Address, messages.KindFence, req, &resp, constants.RoundTimeout)
	return resp, err
}

// adoptBestCopy truncates this process's own copy where it parts from the best one and
// fetches the rest.
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
			return errTakeover.New("the term ended")
		}
		fetched := &messages.FetchResponse{}
		if err := transport.Call(t.process.Node.Transport, address, messages.KindFetch, &messages.FetchRequest{First: next}, fetched, constants.BulkCallTimeout); err != nil {
			return errTakeover.Wrap(err, "fetch from "+address)
		}
		if len(fetched.Records) == 0 {
			return errTakeover.New("no records from " + address)
		}
		resp, err := log.Append(&messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: log.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: log.EpochAt(next - 1), Records: fetched.Records, Base: fetched.Base, BaseEpoch: fetched.BaseEpoch})
		if err != nil {
			return errTakeover.Wrap(err, "append")
		}
		if !resp.Granted {
			return errTakeover.New("own store refuses the records")
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return nil
}

// replicateFrom rebuilds the job table, begins to feed the members from where their copies
// agree with this process's, and gives the index of a first record of this epoch.
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

// rebuildLocked makes the job table from all records. The lock is held.
func (t *Term) rebuildLocked() error {
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

// beginServing opens the term to callers and begins its loops, which end with it. last is
// the index of the last record of earlier epochs.
func (t *Term) beginServing(last int64) {
	t.lock.Lock()
	t.serving = true
	jobs := len(t.jobs.Jobs())
	t.notifyLocked()
	t.lock.Unlock()
	t.process.Node.Log.Info("leadership serving", "epoch", t.leadership.Epoch, "records", last, "jobs", jobs)
	go clock.Every(constants.LeaseRenewPeriod, t.life.stop, t.announce)
	t.maintainSet()
	go clock.Every(constants.GossipPeriod, t.life.stop, t.forget)
	go t.expireItems()
	go t.watchOwnLag()
	relaxCollector()
	t.announce()
}

// maintainSet begins, once in a term, the loops that keep the store set complete. They begin
// before the term serves where the set as it is lets nothing be committed.
func (t *Term) maintainSet() {
	t.feeds.maintained.Do(func() {
		go clock.Every(constants.GossipPeriod/2, t.life.stop, t.reconcileSet)
		go clock.Every(constants.GossipPeriod/4, t.life.stop, t.removeLostDisks)
		go clock.Every(constants.GossipPeriod, t.life.stop, t.removeDeparted)
	})
}

// Resign gives the lease back and notifies the other stores, so that one of them campaigns
// at once.
func (t *Term) Resign() {
	t.process.Election.ReleaseLease()
	node := t.process.Node
	announcement := &messages.LeaderAnnouncement{Leadership: t.leadership, Resigned: true}
	node.Multicast(node.Live(membership.RoleStore), messages.KindLeaderAnnouncement, announcement, constants.LeaseRenewPeriod, nil)
}

// announce makes known who leads: to stores each time, since one that is told nothing for the
// length of a lease campaigns; to the gateways in view while it is news, and then now and
// then. Whoever was missed learns it by asking any store.
func (t *Term) announce() {
	if !t.process.Election.HoldsLease() {
		return
	}
	node := t.process.Node
	peers := node.Live(membership.RoleStore)
	if count := t.life.announcements.Add(1); count <= constants.LeaderReminderRounds || count%constants.LeaderReminderRounds == 0 {
		peers = append(peers, node.Live(membership.RoleGateway)...)
	}
	node.Multicast(peers, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: t.leadership}, constants.LeaseRenewPeriod, nil)
}
