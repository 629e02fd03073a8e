package leader

import (
	"slices"
	"strings"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A leader's link carries every record to every other store, and bounds what it can take: so
// half of the stores get the records from the other half. A store that is sent records
// directly passes them on to one other and tells the leader what that one answered. Where
// that one falls behind, the leader sends to it directly again. How many copies a record needs,
// and which answers count for it, is the same either way.

// delegation is how a store gets its records while another one passes them on. It is guarded
// by Term.lock.
type delegation struct {
	// active says that another store passes records on, up to the index upTo so far; nothing
	// is sent directly meanwhile.
	active bool
	upTo   int64
	// progressAt is when the delegation began, or records were last confirmed.
	progressAt clock.Instant
	// directUntil keeps the store from being delegated after it failed, for failures in a row.
	directUntil clock.Instant
	failures    int
}

// feederPairs gives the members but the leader's own store in the order of pairs: each of the
// first heads of them passes records on to the one that stands as many places behind. They are
// in order of their zones, so that each pair spans two where there are several. The lock is held.
func (t *Term) feederPairs() (others []messages.Member, heads int) {
	own := register.Identity(t.process.Election.Member())
	for _, member := range t.records.replicator.Members {
		if register.Identity(member) != own {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, func(left, right messages.Member) int {
		return strings.Compare(left.Zone+"\x00"+register.Identity(left), right.Zone+"\x00"+register.Identity(right))
	})
	if len(others) < constants.ForwardMembers {
		return others, len(others)
	}
	return others, (len(others) + 1) / 2
}

// downstream gives the feeder of the store to which this one's store passes records on, and
// upstream that of the store which does so for this one's; nil where there is none. The lock is
// held.
func (f *feeder) downstream() *feeder { return f.paired(1) }

func (f *feeder) upstream() *feeder { return f.paired(-1) }

// paired gives the feeder that is so many halves further in the order of the members.
func (f *feeder) paired(halves int) *feeder {
	others, heads := f.term.feederPairs()
	identity := register.Identity(f.member)
	i := slices.IndexFunc(others, func(member messages.Member) bool { return register.Identity(member) == identity })
	other := i + halves*heads
	if i < 0 || other < 0 || other >= len(others) {
		return nil
	}
	return f.term.feeds.feeders[register.Identity(others[other])]
}

// delegateOnward has an order passed on to the next store, where that one has all before it.
func (f *feeder) delegateOnward(req *messages.AppendRequest) {
	t := f.term
	t.lock.Lock()
	defer t.lock.Unlock()
	target := f.downstream()
	if target == nil || !target.delegation.active || len(req.Records) == 0 || req.Base > 0 {
		return
	}
	d, last := &target.delegation, req.Records[len(req.Records)-1].Index
	if req.Records[0].Index-1 > d.upTo || last <= d.upTo {
		return
	}
	d.upTo = last
	req.Forward = &messages.AppendForward{Address: target.member.Address, Disk: target.member.Disk, ReportTo: t.process.Node.Self.Address}
}

// awaitDelegated returns once records have to be sent directly; false when the feeder has to
// end.
func (f *feeder) awaitDelegated() bool {
	watch := delegationWatch{}
	for {
		t := f.term
		t.lock.Lock()
		active := f.delegatedLocked(&watch, clock.Now())
		changed := t.records.changed
		t.lock.Unlock()
		if !active {
			return true
		}
		select {
		case <-changed:
		case <-clock.After(constants.ForwardTimeout / 4):
		case <-f.quit:
			return false
		case <-t.life.stop:
			return false
		}
	}
}

// delegationWatch is since when a store lacks records, and since when its upstream has
// confirmed records that it has not; zero for neither.
type delegationWatch struct{ lacking, behind clock.Instant }

// delegatedLocked tells whether another store passes records on to this one now. It begins a
// delegation where that can be, and ends one that does not get on: behind a store that has
// confirmed the records for ForwardTimeout, or with one that confirms none for
// ForwardUpstreamTimeout. That both take long since the leader's own link is full is no reason.
// The lock is held.
func (f *feeder) delegatedLocked(watch *delegationWatch, now clock.Instant) bool {
	upstream, d := f.upstream(), &f.delegation
	if upstream == nil {
		d.active = false
		return false
	}
	if !d.active {
		if now < d.directUntil || f.next < upstream.next {
			return false
		}
		d.active, d.upTo, d.progressAt = true, f.next-1, now
	}
	since := func(instant *clock.Instant, holds bool) clock.Duration {
		if !holds {
			*instant = 0
		} else if *instant == 0 {
			*instant = now
		}
		if *instant == 0 {
			return 0
		}
		return now.Sub(max(*instant, d.progressAt))
	}
	lacking := since(&watch.lacking, f.next <= f.term.records.replicator.Last())
	behind := since(&watch.behind, f.next < upstream.next)
	if behind >= constants.ForwardTimeout || (lacking >= constants.ForwardUpstreamTimeout && now.Sub(upstream.progressAt) >= constants.ForwardUpstreamTimeout) {
		d.fail(now)
		return false
	}
	return true
}

// failDownstream has the next store fed directly at once: this one's can't be reached.
func (f *feeder) failDownstream() {
	t := f.term
	t.lock.Lock()
	defer t.lock.Unlock()
	if target := f.downstream(); target != nil && target.delegation.active {
		target.delegation.fail(clock.Now())
		t.notifyLocked()
	}
}

// fail ends a delegation that did not get on; each further time the store is fed directly for
// longer. The lock is held.
func (d *delegation) fail(now clock.Instant) {
	d.active = false
	d.failures = min(d.failures+1, constants.ForwardBackoffSteps)
	d.directUntil = now.Add(constants.ForwardBackoff << (d.failures - 1))
}

// HandleForwarded takes what a store answered to records that were passed on to it.
func (t *Term) HandleForwarded(forwarded *messages.AppendForwarded) {
	if forwarded.Epoch != t.leadership.Epoch {
		return
	}
	resp := &forwarded.Response
	t.lock.Lock()
	var of *feeder
	for _, f := range t.feeds.feeders {
		if f.member.Address == forwarded.Address && f.member.Disk == forwarded.Disk {
			of = f
		}
	}
	if of == nil {
		t.lock.Unlock()
		return
	}
	d := &of.delegation
	if !resp.Granted {
		// What is wrong shows in the answer to a direct order.
		if d.active {
			d.fail(clock.Now())
			t.notifyLocked()
		}
		t.lock.Unlock()
		return
	}
	if d.active {
		of.next = max(of.next, resp.Last+1)
		d.progressAt, d.failures = clock.Now(), 0
	}
	t.lock.Unlock()
	// What a store has synced counts whichever way it came.
	t.handleMatch(register.Identity(of.member), resp.Last)
}
