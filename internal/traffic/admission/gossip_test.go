package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// load packs one word on a worker's load.
func encodedLoad(worker string, running int, age clock.Duration) []byte {
	return messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash(worker), Running: running,
		AgeMs: age.Milliseconds(), Health: messages.HealthUnknown})
}

// second is a moment in whole seconds.
func atSecond(count int) clock.Instant { return clock.Instant(count) * 1_000_000_000 }

// The age limit holds for the evidence, however often and by however fresh a packet
// it was passed on.
func TestAgeLimitAppliesUnderRelaying(t *testing.T) {
	near, far := newScheduler(t, 1, "w"), newScheduler(t, 1, "w")
	near.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, 0)}, atSecond(10))
	packet := near.MakeGossip(atSecond(12))
	entries := messages.ParseLoads(packet.Loads)
	if len(entries) != 1 || entries[0].Running != 50 || entries[0].AgeMs < 2000 {
		t.Fatalf("not passed on with its age: %+v", entries)
	}
	far.HandleGossip(packet, atSecond(12))
	running := func(now clock.Instant) (count int) {
		far.Locked(func() { count = far.Tracker.Of("w").Running(now) })
		return count
	}
	if running(atSecond(12)+1) != 50 {
		t.Fatal("a relayed word did not count")
	}
	late := atSecond(10).Add(constants.GossipStale)
	if running(late) != 0 {
		t.Fatal("relaying made a stale word young")
	}
	if again := near.MakeGossip(late + 1); len(again.Loads) > 0 {
		t.Fatal("a stale word was passed on")
	}
}

// A peer that was paused with its packet in hand: what it then says is told with the
// age that it has, and a word older than the limit never counts.
func TestSampleBeyondTheLimitNeverCounts(t *testing.T) {
	entry := newScheduler(t, 1, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, constants.GossipStale)}, atSecond(10))
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(10)); decision.Verdict != VerdictGranted {
		t.Fatal("a word beyond the age limit counted")
	}
}

// Of two words the younger counts, whichever comes last.
func TestFreshestObservationWins(t *testing.T) {
	entry := newScheduler(t, 4, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 1, clock.Milliseconds(100))}, atSecond(10))
	entry.HandleGossip(&messages.Gossip{From: "forge/y", Loads: encodedLoad("w", 200, clock.Milliseconds(2000))}, atSecond(10)+1)
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(10)+2); decision.Verdict != VerdictGranted {
		t.Fatal("an older word counted over a younger one")
	}
	entry.HandleGossip(&messages.Gossip{From: "forge/z", Loads: encodedLoad("w", 200, 0)}, atSecond(10)+3)
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(10)+4); decision.Verdict == VerdictGranted {
		t.Fatal("the younger word did not count")
	}
}

// An observation is corrected by what was begun here since it was made.
func TestOwnRequestsSinceTheObservationCount(t *testing.T) {
	entry := newScheduler(t, 4, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 4, 0)}, atSecond(10))
	granted := 0
	for ; granted < 20; granted++ {
		if decision, _ := entry.Admit(newRequest(0), nil, atSecond(10)+clock.Instant(granted)+1); decision.Verdict != VerdictGranted {
			break
		}
	}
	if granted != constants.QueueAheadMax {
		t.Fatalf("%d placed on a worker that had its four, want %d", granted, constants.QueueAheadMax)
	}
	// A later observation holds them already.
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 4, 0)}, atSecond(11))
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(11)+1); decision.Verdict != VerdictGranted {
		t.Fatal("our own were counted twice")
	}
}

// A packet is bounded whatever the size of the fleet, and what waited longest to be
// told goes first, so every worker has its turn.
func TestPacketIsBounded(t *testing.T) {
	var names []string
	for count := 0; count < 600; count++ {
		names = append(names, fmt.Sprint("worker-", count))
	}
	entry := newScheduler(t, 16, names...)
	known := map[uint32]int{}
	largest := 0
	for round := 1; round <= 7; round++ {
		now := atSecond(10 + round)
		for _, name := range names {
			entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(name, round, 0)}, now)
		}
		packet := entry.MakeGossip(now)
		for _, sample := range messages.ParseLoads(packet.Loads) {
			known[sample.WorkerHash]++
		}
		body, _ := packet.MarshalMsg(nil)
		largest = max(largest, len(body))
	}
	if len(known) != len(names) {
		t.Fatalf("%d of %d workers were told of in seven periods", len(known), len(names))
	}
	if largest > 1400 {
		t.Fatalf("a packet has %d bytes", largest)
	}
}

// What a neighbour got from this node is not sent again while nothing is new.
func TestUnchangedObservationIsNotResent(t *testing.T) {
	entry := newScheduler(t, 4, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 2, 0)}, atSecond(10))
	if len(entry.MakeGossip(atSecond(10)).Loads) == 0 {
		t.Fatal("news was not told")
	}
	if len(entry.MakeGossip(atSecond(11)).Loads) != 0 {
		t.Fatal("the same observation was told twice")
	}
}

// Words of a later version are longer; what this one knows of them counts.
func TestLongerSamplesAreParsed(t *testing.T) {
	entries := []byte{9}
	for _, worker := range []string{"v", "w"} {
		entries = append(entries, encodedLoad(worker, 50, 0)[1:]...)
		entries = append(entries, 0xEE, 0xFF)
	}
	entry := newScheduler(t, 1, "v", "w")
	entry.HandleGossip(&messages.Gossip{Format: 3, From: "forge/x", Loads: append(entries, 1, 2)}, atSecond(10))
	for _, worker := range []string{"v", "w"} {
		running := 0
		entry.Locked(func() { running = entry.Tracker.Of(worker).Running(atSecond(10)) })
		if running != 50 {
			t.Fatalf("%s: %d read from words with trailing bytes", worker, running)
		}
	}
}

// One neighbour's suspicion may be its own trouble, two are evidence; and neither is
// passed on as if it were ours.
func TestPeerSuspicionNeedsTwoPeersAndIsNotRelayed(t *testing.T) {
	entry := newScheduler(t, 4, "v", "w")
	sample := messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("v"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: sample}, atSecond(10))
	suspect := func() (decision bool) {
		entry.Locked(func() { decision = entry.Tracker.Of("v").Suspect(atSecond(10) + 1) })
		return decision
	}
	if suspect() {
		t.Fatal("one neighbour's word was enough")
	}
	entry.HandleGossip(&messages.Gossip{From: "forge/y", Loads: sample}, atSecond(10))
	if !suspect() {
		t.Fatal("two neighbours' words were not enough")
	}
	if loads := entry.MakeGossip(atSecond(10) + 1).Loads; len(loads) != 0 {
		t.Fatal("hearsay was passed on: ", loads)
	}
}

// Turnover by Little's law comes near the true count, though nobody counts it.
func TestTurnoverOfOthersIsEstimated(t *testing.T) {
	entry := newScheduler(t, 100, "w")
	requested := newRequest(0)
	requested.Affine, requested.Prompt.Tokens = true, 1000
	for count := 0; count < 50; count++ {
		decision, _ := entry.Admit(requested, nil, atSecond(10))
		decision.Grant.End(ResultServed, atSecond(10).Add(clock.Milliseconds(500)))
	}
	entry.MakeGossip(atSecond(20))
	// Others have 10 requests there at any time, each 1000 tokens in half a second:
	// twenty thousand tokens a second.
	for now := atSecond(20); now < atSecond(30); now = now.Add(constants.GossipPeriod) {
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 10, 0)}, now.Add(constants.GossipPeriod)-1)
		entry.MakeGossip(now.Add(constants.GossipPeriod))
	}
	total := 0.0
	entry.Locked(func() { total = entry.Index.OthersTurnover("w") })
	if total < 180_000 || total > 220_000 {
		t.Fatalf("%.0f tokens reckoned, 200000 came", total)
	}
}
