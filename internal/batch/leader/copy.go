package leader

import (
	"sync/atomic"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// CopyDeadline is the time that joiners have to copy everything. It ends early for all of
// them when the others have waited long enough for the slowest.
type CopyDeadline struct {
	end    clock.Instant
	closed atomic.Bool
}

// NewCopyDeadline begins the time of a change, constants.SetChangeTimeout.
func NewCopyDeadline() *CopyDeadline {
	return &CopyDeadline{end: clock.Now().Add(constants.SetChangeTimeout)}
}

func (c *CopyDeadline) passed() bool { return c.closed.Load() || clock.Now() >= c.end }

// CopyTo has a joiner fetch what is durable from a member, and gives the index up
// to which it has it. The leader's own link carries each new record to every store;
// old ones need not take that way, and a store whose disk was lost has to be complete again soon.
func (t *Term) CopyTo(joiner messages.Member, i int, timeout *CopyDeadline) int64 {
	identity := register.Identity(joiner)
	last := int64(0)
	for failures := 0; ; {
		t.lock.Lock()
		done := t.feeds.copied[identity]
		source, target := t.source(joiner, i+failures)
		t.lock.Unlock()
		if source == nil || target <= done || (done > 0 && caughtUp(target-done, last)) || timeout.passed() || t.Closed() {
			return done
		}
		last = target - done
		further := t.copyRound(joiner, *source, done, target, timeout)
		t.lock.Lock()
		t.feeds.copied[identity] = further
		t.lock.Unlock()
		if further >= target {
			failures = 0
			continue
		}
		// What was copied counts. Another member is asked for the rest; only where that fails
		// as well, it comes from here.
		if failures++; failures > constants.CopyRetries {
			return further
		}
		last = 0
	}
}

// caughtUp tells whether another round of copying is not worth it: little is lacking, or
// hardly less than in the round before, since as much comes as is copied. Then only
// the leader, which sends what is new as it comes, can bring the rest.
func caughtUp(lacking, before int64) bool {
	return lacking <= constants.CopyGap || (before > 0 && lacking*4 > before*3)
}

// copyRound copies up to what was durable when it began; meanwhile more comes.
func (t *Term) copyRound(joiner, source messages.Member, done, target int64, timeout *CopyDeadline) int64 {
	first, start := done, clock.Now()
	defer func() {
		t.process.Node.Log.Info("store copied to", "store", joiner.Name, "source", source.Name, "from", first, "to", done, "of", target,
			"took-ms", clock.Now().Sub(start).Milliseconds())
	}()
	for done < target && !timeout.passed() && !t.Closed() {
		resp := &messages.AppendResponse{}
		req := &messages.CopyRequest{Epoch: t.leadership.Epoch, Disk: joiner.Disk, Source: source.Address, SourceDisk: source.Disk, First: done + 1, Last: target}
		if err := transport.Call(t.process.Node.Transport, joiner.Address, messages.KindCopy, req, resp, constants.BulkCallTimeout); err != nil || !resp.Granted || resp.Last <= done {
			t.process.Node.Log.Info("store copy ends early", "store", joiner.Name, "source", source.Name, "at", done, "granted", resp.Granted, "failed", err != nil)
			break
		}
		done = resp.Last
	}
	return done
}

// source picks a member that has most of what is durable, other than this process
// and the joiner. What a store has synced under this epoch is what we have. place
// tells joiners of one time apart: they had better not share one source's link. The
// lock is held.
func (t *Term) source(joiner messages.Member, i int) (*messages.Member, int64) {
	best, own := int64(0), t.process.Node.Self.Address
	has := func(member messages.Member) int64 {
		if member.Address == own || member.Address == joiner.Address {
			return 0
		}
		replicator := t.records.replicator
		// While nothing of this epoch is committed yet, what it began with is worth copying.
		return min(replicator.MatchIndex(register.Identity(member)), max(replicator.CommitIndex(), replicator.Inherited()))
	}
	for _, member := range t.records.replicator.Members {
		best = max(best, has(member))
	}
	var able []*messages.Member
	for index := range t.records.replicator.Members {
		if match := has(t.records.replicator.Members[index]); match > 0 && match+constants.CopyGap >= best {
			able = append(able, &t.records.replicator.Members[index])
		}
	}
	if len(able) == 0 {
		return nil, 0
	}
	found := able[i%len(able)]
	return found, has(*found)
}
