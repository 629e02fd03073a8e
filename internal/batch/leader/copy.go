package leader

import (
	"sync/atomic"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// CopyDeadline is the deadline for all joiners of a change to copy all records. It can be closed
// early, for all joiners, so that those that are complete do not wait too long for the slowest.
type CopyDeadline struct {
	end    clock.Instant
	closed atomic.Bool
}

// NewCopyDeadline returns a deadline that is constants.SetChangeTimeout from now.
func NewCopyDeadline() *CopyDeadline {
	return &CopyDeadline{end: clock.Now().Add(constants.SetChangeTimeout)}
}

func (c *CopyDeadline) passed() bool { return c.closed.Load() || clock.Now() >= c.end }

// CopyTo makes a joiner fetch the durable records from a member, and returns the index up to which
// the joiner has them. The copy comes from another member because the leader's own link already
// carries each new record to every store, and a store whose disk was lost has to be complete again
// soon. offset is different for each of the joiners that copy at the same time.
func (t *Term) CopyTo(joiner messages.Member, offset int, deadline *CopyDeadline) int64 {
	identity := register.Identity(joiner)
	last := int64(0)
	for failures := 0; ; {
		t.lock.Lock()
		done := t.feeds.copied[identity]
		source, target := t.source(joiner, offset+failures)
		t.lock.Unlock()
		if source == nil || target <= done || (done > 0 && caughtUp(target-done, last)) || deadline.passed() || t.Closed() {
			return done
		}
		last = target - done
		copied := t.copyRound(joiner, *source, done, target, deadline)
		t.lock.Lock()
		t.feeds.copied[identity] = copied
		t.lock.Unlock()
		if copied >= target {
			failures = 0
			continue
		}
		// The records copied so far are kept. The rest is requested from another member. After
		// more than constants.CopyRetries failures in a row the leader sends it.
		if failures++; failures > constants.CopyRetries {
			return copied
		}
		last = 0
	}
}

// caughtUp reports whether another round of copying is not worthwhile: few records are lacking, or
// hardly fewer than before the previous round, since records arrive about as fast as they are
// copied. In that case only the leader, which sends new records as they arrive, can send the rest.
func caughtUp(lacking, before int64) bool {
	return lacking <= constants.CopyGap || (before > 0 && lacking*4 > before*3)
}

// copyRound copies the records after the index done up to target, which were durable when the round
// started. It returns the index up to which the joiner has records. More records may arrive in the
// meantime.
func (t *Term) copyRound(joiner, source messages.Member, done, target int64, deadline *CopyDeadline) int64 {
	first, start := done, clock.Now()
	defer func() {
		t.process.Node.Log.Info("store copy round ended", "store", joiner.Name, "source", source.Name, "from", first, "to", done, "of", target,
			"took-ms", clock.Now().Sub(start).Milliseconds())
	}()
	for done < target && !deadline.passed() && !t.Closed() {
		resp := &messages.AppendResponse{}
		req := &messages.CopyRequest{Epoch: t.leadership.Epoch, Disk: joiner.Disk, Source: source.Address, SourceDisk: source.Disk, First: done + 1, Last: target}
		if err := transport.Call(t.process.Node.Transport, joiner.Address, messages.KindCopy, req, resp, constants.BulkCallTimeout); err != nil || !resp.Granted || resp.Last <= done {
			t.process.Node.Log.Info("store copy ended early", "store", joiner.Name, "source", source.Name, "at", done, "granted", resp.Granted, "failed", err != nil)
			break
		}
		done = resp.Last
	}
	return done
}

// source selects, among the members other than this process and the joiner, one that lacks at most
// constants.CopyGap of the durable records that the best of them has. It returns the member and the
// index up to which that member has them, or nil if no member has any. Records that a store has synced in this
// epoch are identical to this process's. offset is different for each of the joiners that copy at
// the same time, so that they do not share one source's link. The lock is held.
func (t *Term) source(joiner messages.Member, offset int) (*messages.Member, int64) {
	best, own := int64(0), t.process.Node.Self.Address
	available := func(member messages.Member) int64 {
		if member.Address == own || member.Address == joiner.Address {
			return 0
		}
		replicator := t.records.replicator
		// While no record of this epoch is committed, the inherited records are copied.
		return min(replicator.MatchIndex(register.Identity(member)), max(replicator.CommitIndex(), replicator.LastInheritedIndex()))
	}
	for _, member := range t.records.replicator.Members {
		best = max(best, available(member))
	}
	var candidates []*messages.Member
	for index := range t.records.replicator.Members {
		if match := available(t.records.replicator.Members[index]); match > 0 && match+constants.CopyGap >= best {
			candidates = append(candidates, &t.records.replicator.Members[index])
		}
	}
	if len(candidates) == 0 {
		return nil, 0
	}
	selected := candidates[offset%len(candidates)]
	return selected, available(*selected)
}
