package leader

import (
	"slices"
	"strings"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Sending every record to every other store would make the leader's link limit its throughput, so
// half of the stores receive the records through the other half. A store that receives records
// directly forwards them to one other store, and reports that store's response to the leader. If
// the other store falls behind, the leader sends to it directly again. The number of copies that
// a record needs, and the responses that count, are the same in both cases.

// delegation is the state of sending records to a store through another store. It is guarded by
// Term.lock.
type delegation struct {
	// active is set while another store forwards records, so far up to the index upTo. While it is
	// set, the leader sends nothing directly.
	active bool
	upTo   int64
	// progressAt is when the delegation started, or when records were last confirmed.
	progressAt clock.Instant
	// directUntil is the instant before which no new delegation starts after a failed one. It grows
	// with failures, the number of failures in a row.
	directUntil clock.Instant
	failures    int
}

// feederPairs returns the members other than the leader's own store. Each of the first heads
// members forwards records to the member that is heads places after it. The members are sorted by
// zone, so that each pair spans two zones if there are several. With fewer than
// constants.ForwardMembers members none forwards records, and heads is the number of members. The lock
// is held.
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

// downstream returns the feeder of the store to which this feeder's store forwards records, and
// upstream the feeder of the store that forwards records to this feeder's store. Both return nil
// if there is none. The lock is held.
func (f *feeder) downstream() *feeder { return f.paired(1) }

func (f *feeder) upstream() *feeder { return f.paired(-1) }

// paired returns the feeder of the member that is halves times heads places after this feeder's
// member in the order of feederPairs, or before it if halves is negative. It returns nil if there
// is none.
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

// delegateOnward sets the request to be forwarded to the downstream store if that store has, or is
// being sent, all earlier records.
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

// awaitDelegated waits until records have to be sent directly. It returns false if the feeder has
// to end.
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
		case <-t.lifecycle.stop:
			return false
		}
	}
}

// delegationWatch contains the instants since which a store lacks records, and since which its
// upstream store has confirmed records that the store has not. An instant is zero if that is not
// the case.
type delegationWatch struct{ lacking, behind clock.Instant }

// delegatedLocked reports whether another store currently forwards records to this one. It starts
// a delegation if possible. It ends a delegation that makes no progress: if the upstream store has
// confirmed records for ForwardTimeout that this store has not, or if this store lacks records
// and the upstream store has confirmed none for ForwardUpstreamTimeout. It does not end one merely
// because both stores are slow while the leader's own link is saturated. The lock is held.
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
	since := func(instant *clock.Instant, applies bool) clock.Duration {
		if !applies {
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

// failDownstream ends the delegation of the downstream store immediately, because this feeder's
// store can't be reached or can't store records. Records are then sent to the downstream store directly.
func (f *feeder) failDownstream() {
	t := f.term
	t.lock.Lock()
	defer t.lock.Unlock()
	if target := f.downstream(); target != nil && target.delegation.active {
		target.delegation.fail(clock.Now())
		t.notifyLocked()
	}
}

// fail ends a delegation that made no progress. The period of direct sending is
// constants.ForwardBackoff at first and doubles with each further failure in a row, up to
// constants.ForwardBackoffSteps failures. The lock is held.
func (d *delegation) fail(now clock.Instant) {
	d.active = false
	d.failures = min(d.failures+1, constants.ForwardBackoffSteps)
	d.directUntil = now.Add(constants.ForwardBackoff << (d.failures - 1))
}

// HandleForwarded processes a store's response to records that another store forwarded to it.
func (t *Term) HandleForwarded(forwarded *messages.AppendForwarded) {
	if forwarded.Epoch != t.leadership.Epoch {
		return
	}
	resp := &forwarded.Response
	t.lock.Lock()
	var target *feeder
	for _, f := range t.feeds.feeders {
		if f.member.Address == forwarded.Address && f.member.Disk == forwarded.Disk {
			target = f
		}
	}
	if target == nil {
		t.lock.Unlock()
		return
	}
	d := &target.delegation
	if !resp.Granted {
		// The response to a direct request will show the reason.
		if d.active {
			d.fail(clock.Now())
			t.notifyLocked()
		}
		t.lock.Unlock()
		return
	}
	if d.active {
		target.next = max(target.next, resp.Last+1)
		d.progressAt, d.failures = clock.Now(), 0
	}
	t.lock.Unlock()
	// Synced records count whether they were forwarded or sent directly.
	t.handleMatch(register.Identity(target.member), resp.Last)
}
