package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// encodedLoad returns the encoded load sample of one worker.
func encodedLoad(worker string, running int, age clock.Duration) []byte {
	return messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash(worker), Running: running,
		AgeMs: age.Milliseconds(), Health: messages.HealthUnknown})
}

// atSecond returns the instant at the given number of seconds.
func atSecond(count int) clock.Instant { return clock.Instant(count) * 1_000_000_000 }

// The age limit applies to the observation itself, however often it was relayed and however fresh
// the packet is.
func TestAgeLimitAppliesUnderRelaying(t *testing.T) {
	relay, receiver := newScheduler(t, 1, "w"), newScheduler(t, 1, "w")
	relay.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, 0)}, atSecond(10))
	packet := relay.MakeGossip(atSecond(12))
	entries := messages.ParseLoads(packet.Loads)
	if len(entries) != 1 || entries[0].Running != 50 || entries[0].AgeMs < 2000 {
		t.Fatalf("want one relayed sample of 50 requests with its age, got %+v", entries)
	}
	receiver.HandleGossip(packet, atSecond(12))
	running := func(now clock.Instant) (count int) {
		receiver.WithLock(func() { count = receiver.Tracker.HealthOf("w").Running(now) })
		return count
	}
	if running(atSecond(12)+1) != 50 {
		t.Fatal("a relayed sample was ignored")
	}
	late := atSecond(10).Add(constants.GossipStale)
	if running(late) != 0 {
		t.Fatal("an expired sample still counts after it was relayed")
	}
	if again := relay.MakeGossip(late + 1); len(again.Loads) > 0 {
		t.Fatal("an expired sample was relayed")
	}
}

// A peer that was paused before it sent a packet reports its samples with their true age; a sample
// older than the limit is ignored.
func TestSampleBeyondTheLimitNeverCounts(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, constants.GossipStale)}, atSecond(10))
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(10)); decision.Verdict != VerdictGranted {
		t.Fatal("a sample beyond the age limit made the worker full")
	}
}

// Of two samples the later observation counts, regardless of the order of arrival.
func TestFreshestObservationWins(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 1, clock.Milliseconds(100))}, atSecond(10))
	scheduler.HandleGossip(&messages.Gossip{From: "forge/y", Loads: encodedLoad("w", 200, clock.Milliseconds(2000))}, atSecond(10)+1)
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(10)+2); decision.Verdict != VerdictGranted {
		t.Fatal("an older sample replaced a later one")
	}
	scheduler.HandleGossip(&messages.Gossip{From: "forge/z", Loads: encodedLoad("w", 200, 0)}, atSecond(10)+3)
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(10)+4); decision.Verdict == VerdictGranted {
		t.Fatal("the later sample was ignored")
	}
}

// An observation is corrected by the requests that were started here since it was made.
func TestOwnRequestsSinceTheObservationCount(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 4, 0)}, atSecond(10))
	granted := 0
	for ; granted < 20; granted++ {
		if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(10)+clock.Instant(granted)+1); decision.Verdict != VerdictGranted {
			break
		}
	}
	if granted != constants.QueueAheadMax {
		t.Fatalf("%d requests placed on a worker that already had four, want %d", granted, constants.QueueAheadMax)
	}
	// A later observation already includes these requests.
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 4, 0)}, atSecond(11))
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(11)+1); decision.Verdict != VerdictGranted {
		t.Fatal("this process's own requests were counted twice")
	}
}

// A packet is bounded regardless of the size of the fleet. Workers whose samples were sent longest
// ago go first, so every worker is reported in turn.
func TestPacketIsBounded(t *testing.T) {
	var names []string
	for count := 0; count < 600; count++ {
		names = append(names, fmt.Sprint("worker-", count))
	}
	scheduler := newScheduler(t, 16, names...)
	reported := map[uint32]int{}
	largest := 0
	for round := 1; round <= 7; round++ {
		now := atSecond(10 + round)
		for _, name := range names {
			scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(name, round, 0)}, now)
		}
		packet := scheduler.MakeGossip(now)
		for _, sample := range messages.ParseLoads(packet.Loads) {
			reported[sample.WorkerHash]++
		}
		body, _ := packet.MarshalMsg(nil)
		largest = max(largest, len(body))
	}
	if len(reported) != len(names) {
		t.Fatalf("%d of %d workers were reported in seven periods, want all", len(reported), len(names))
	}
	if largest > 1400 {
		t.Fatalf("largest packet has %d bytes, want at most 1400", largest)
	}
}

// An observation that this node has already sent is not sent again.
func TestUnchangedObservationIsNotResent(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 2, 0)}, atSecond(10))
	if len(scheduler.MakeGossip(atSecond(10)).Loads) == 0 {
		t.Fatal("a new observation was not sent")
	}
	if len(scheduler.MakeGossip(atSecond(11)).Loads) != 0 {
		t.Fatal("the same observation was sent twice")
	}
}

// Samples of a later format version are longer; the fields known to this version are parsed.
func TestLongerSamplesAreParsed(t *testing.T) {
	entries := []byte{9}
	for _, worker := range []string{"v", "w"} {
		entries = append(entries, encodedLoad(worker, 50, 0)[1:]...)
		entries = append(entries, 0xEE, 0xFF)
	}
	scheduler := newScheduler(t, 1, "v", "w")
	scheduler.HandleGossip(&messages.Gossip{Format: 3, From: "forge/x", Loads: append(entries, 1, 2)}, atSecond(10))
	for _, worker := range []string{"v", "w"} {
		running := 0
		scheduler.WithLock(func() { running = scheduler.Tracker.HealthOf(worker).Running(atSecond(10)) })
		if running != 50 {
			t.Fatalf("worker %s: parsed %d running requests from samples with trailing bytes, want 50", worker, running)
		}
	}
}

// The suspicion of one peer may be caused by a fault of that peer; two peers are evidence. Neither
// is relayed as a suspicion of this node.
func TestPeerSuspicionNeedsTwoPeersAndIsNotRelayed(t *testing.T) {
	scheduler := newScheduler(t, 4, "v", "w")
	sample := messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("v"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: sample}, atSecond(10))
	isSuspect := func() (suspect bool) {
		scheduler.WithLock(func() { suspect = scheduler.Tracker.HealthOf("v").Suspect(atSecond(10) + 1) })
		return suspect
	}
	if isSuspect() {
		t.Fatal("the suspicion of one peer was enough to suspect the worker")
	}
	scheduler.HandleGossip(&messages.Gossip{From: "forge/y", Loads: sample}, atSecond(10))
	if !isSuspect() {
		t.Fatal("the suspicions of two peers were not enough to suspect the worker")
	}
	if loads := scheduler.MakeGossip(atSecond(10) + 1).Loads; len(loads) != 0 {
		t.Fatalf("packet has loads %v, want no relayed suspicions of peers", loads)
	}
}

// The turnover estimated by Little's law is close to the true number, although no process counts
// it.
func TestTurnoverOfOthersIsEstimated(t *testing.T) {
	scheduler := newScheduler(t, 100, "w")
	req := newRequest(0)
	req.Affine, req.Prompt.Tokens = true, 1000
	for count := 0; count < 50; count++ {
		decision, _ := scheduler.Admit(req, nil, atSecond(10))
		decision.Grant.End(ResultServed, atSecond(10).Add(clock.Milliseconds(500)))
	}
	scheduler.MakeGossip(atSecond(20))
	// Other processes have 10 requests there at any time, each of 1000 tokens and half a second:
	// 20,000 tokens per second.
	for now := atSecond(20); now < atSecond(30); now = now.Add(constants.GossipPeriod) {
		scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 10, 0)}, now.Add(constants.GossipPeriod)-1)
		scheduler.MakeGossip(now.Add(constants.GossipPeriod))
	}
	total := 0.0
	scheduler.WithLock(func() { total = scheduler.Index.OthersTurnover("w") })
	if total < 180_000 || total > 220_000 {
		t.Fatalf("estimated a turnover of %.0f tokens, want about 200000", total)
	}
}
