package workeremulator

import (
	"math/rand"
	"strconv"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
)

var smallShape = Shape{Capacity: 4, Queue: 2, CacheTokens: 1000, ReadPerMs: 100, Step: time.Millisecond, StepEach: time.Millisecond / 2, Stride: 4}

// timedEffect is an effect and when it occurred.
type timedEffect struct {
	Effect
	at clock.Instant
}

// drive runs an engine up to a time limit and returns its effects with their times.
func drive(engine *Engine, events map[clock.Instant][]Event, limit clock.Instant) []timedEffect {
	var collected []timedEffect
	record := func(effects []Effect, now clock.Instant) {
		for _, effect := range effects {
			collected = append(collected, timedEffect{effect, now})
		}
	}
	for now := clock.Instant(0); now <= limit; now += clock.Instant(time.Millisecond / 4) {
		for _, event := range events[now] {
			record(engine.Step(event, now), now)
		}
		if at, due := engine.Next(); due && at <= now {
			record(engine.Step(Event{Kind: EventTick}, now), now)
		}
	}
	return collected
}

func effectsOf(effects []timedEffect, ticket int64, kind EffectKind) []timedEffect {
	var matching []timedEffect
	for _, effect := range effects {
		if effect.Ticket == ticket && effect.Kind == kind {
			matching = append(matching, effect)
		}
	}
	return matching
}

func arrive(ticket, in, out int64, parts ...Part) Event {
	return Event{Kind: EventArrive, Request: EngineRequest{Ticket: ticket, Model: "m", In: in, Out: out, Parts: parts}}
}

func milliseconds(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

// TestTokensSlowDownWithTheBatch checks that tokens come more slowly the more requests run.
func TestTokensSlowDownWithTheBatch(t *testing.T) {
	alone := drive(NewEngine(smallShape), map[clock.Instant][]Event{0: {arrive(1, 10, 40)}}, milliseconds(500))
	full := drive(NewEngine(smallShape), map[clock.Instant][]Event{0: {arrive(1, 10, 40), arrive(2, 10, 40), arrive(3, 10, 40), arrive(4, 10, 40)}}, milliseconds(500))
	first, second := effectsOf(alone, 1, EffectFinish), effectsOf(full, 1, EffectFinish)
	if len(first) != 1 || len(second) != 1 || second[0].at < first[0].at*3/2 {
		t.Fatalf("request finished at %v alone and at %v in a full batch, want once each, the second at least 1.5 times as late", first, second)
	}
}

// TestPrefillGoesOnBetweenTokens checks that a long prompt is prefilled in chunks, between which other
// requests produce tokens.
func TestPrefillGoesOnBetweenTokens(t *testing.T) {
	shape := smallShape
	shape.ReadPerMs = 10
	effects := drive(NewEngine(shape), map[clock.Instant][]Event{0: {arrive(1, 10, 80)}, milliseconds(20): {arrive(2, 800, 4)}}, milliseconds(900))
	started := effectsOf(effects, 2, EffectBegin)
	if len(started) != 1 || started[0].at < milliseconds(90) {
		t.Fatalf("request with 800 tokens at 10 per ms began at %v, want once, not before 90 ms", started)
	}
	between := 0
	for _, event := range effectsOf(effects, 1, EffectEvent) {
		if event.at > milliseconds(20) && event.at < started[0].at {
			between++
		}
	}
	if between < 5 {
		t.Fatalf("%d events of the other stream during prefill, want at least 5", between)
	}
}

// TestCachedPrefixIsNotPrefilledAgain checks that cached parts are not prefilled again, provided that all
// parts before them are cached.
func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	engine := NewEngine(smallShape)
	shared, own := Part{"a", 300}, Part{"b", 100}
	drive(engine, map[clock.Instant][]Event{0: {arrive(1, 400, 4, shared, own)}}, milliseconds(100))
	if engine.ReadTokens != 400 || engine.ReusedTokens != 0 {
		t.Fatalf("first prompt: %d tokens prefilled and %d reused, want 400 and 0", engine.ReadTokens, engine.ReusedTokens)
	}
	engine.Step(arrive(2, 400, 4, shared, Part{"c", 100}), milliseconds(101))
	engine.Step(Event{}, milliseconds(200))
	if engine.ReadTokens != 500 || engine.ReusedTokens != 300 {
		t.Fatalf("prompt with a shared first part: %d tokens prefilled and %d reused in total, want 500 and 300", engine.ReadTokens, engine.ReusedTokens)
	}
	// b is cached, but the part before it in this prompt is not.
	engine.Step(arrive(3, 150, 4, Part{"d", 50}, own), milliseconds(201))
	engine.Step(Event{}, milliseconds(300))
	if engine.ReadTokens != 650 || engine.ReusedTokens != 300 {
		t.Fatalf("cached part after one that is not cached: %d tokens prefilled and %d reused in total, want 650 and 300", engine.ReadTokens, engine.ReusedTokens)
	}
}

// TestLeastRecentlyUsedPartIsEvicted checks that the least recently used parts are evicted first.
func TestLeastRecentlyUsedPartIsEvicted(t *testing.T) {
	engine := NewEngine(smallShape)
	for i, key := range []string{"a", "b", "c", "a", "d"} {
		engine.Step(arrive(int64(i), 300, 4, Part{key, 300}), milliseconds(float64(100*i)))
		engine.Step(Event{}, milliseconds(float64(100*i+90)))
	}
	if !engine.cache.isComplete(Part{Key: "m/a"}) || engine.cache.isComplete(Part{Key: "m/b"}) || !engine.cache.isComplete(Part{Key: "m/d"}) {
		t.Fatalf("cached parts %v, want m/a and m/d complete and m/b evicted", engine.cache.entries)
	}
}

// TestNewestIsPreemptedAndResumed checks that the newest request is preempted when memory runs out, and
// resumed later. No event of its stream may be lost or duplicated.
func TestNewestIsPreemptedAndResumed(t *testing.T) {
	engine := NewEngine(smallShape)
	effects := drive(engine, map[clock.Instant][]Event{0: {arrive(1, 400, 200), arrive(2, 400, 200)}}, milliseconds(3000))
	if engine.Preemptions == 0 || len(effectsOf(effects, 1, EffectPreempt)) > 0 {
		t.Fatalf("%d preemptions, want at least one, and none of the older request", engine.Preemptions)
	}
	for _, ticket := range []int64{1, 2} {
		checkEvents(t, effectsOf(effects, ticket, EffectEvent), 1, 50)
		if len(effectsOf(effects, ticket, EffectFinish)) != 1 || len(effectsOf(effects, ticket, EffectBegin)) != 1 {
			t.Fatalf("ticket %d did not begin and finish exactly once", ticket)
		}
	}
}

func checkEvents(t *testing.T, events []timedEffect, first, last int64) {
	t.Helper()
	for i, event := range events {
		if event.Number != first+int64(i) {
			t.Fatalf("event number %d at index %d of the stream, want consecutive numbers from %d", event.Number, i, first)
		}
	}
	if int64(len(events)) != last-first+1 {
		t.Fatalf("%d events in the stream, want those from %d to %d", len(events), first, last)
	}
}

func TestResumeContinuesAfterTheLastEvent(t *testing.T) {
	event := arrive(1, 100, 40)
	event.Request.LastEvent = 3
	effects := drive(NewEngine(smallShape), map[clock.Instant][]Event{0: {event}}, milliseconds(300))
	checkEvents(t, effectsOf(effects, 1, EffectEvent), 4, 10)
	event.Request.LastEvent = 10
	effects = drive(NewEngine(smallShape), map[clock.Instant][]Event{0: {event}}, milliseconds(300))
	if len(effectsOf(effects, 1, EffectEvent)) != 0 || len(effectsOf(effects, 1, EffectFinish)) != 1 {
		t.Fatalf("effects of resuming after the last event: %v, want no event and one finish", effects)
	}
}

// TestRequestsAreRejectedOrExpire checks that a request is rejected if the queue is full or the request can
// never fit into memory, and that a running request expires at its deadline.
func TestRequestsAreRejectedOrExpire(t *testing.T) {
	var events []Event
	for ticket := int64(1); ticket <= 7; ticket++ {
		events = append(events, arrive(ticket, 10, 40))
	}
	large := arrive(8, 2000, 4)
	late := arrive(9, 10, 800)
	late.Request.Deadline = milliseconds(300)
	effects := drive(NewEngine(smallShape), map[clock.Instant][]Event{0: events, milliseconds(200): {large, late}}, milliseconds(400))
	if len(effectsOf(effects, 7, EffectReject)) != 1 || len(effectsOf(effects, 6, EffectFinish)) != 1 || len(effectsOf(effects, 8, EffectReject)) != 1 || len(effectsOf(effects, 9, EffectExpire)) != 1 {
		t.Fatalf("effects %v, want requests 7 (queue full) and 8 (too large) rejected, 6 finished and 9 expired, once each", effects)
	}
}

// TestAnyHistoryStaysInBounds checks, for random events in any order, that concurrency and memory stay
// within their limits, and that every request ends exactly once, with its events in order.
func TestAnyHistoryStaysInBounds(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		random := rand.New(rand.NewSource(seed))
		engine := NewEngine(smallShape)
		ends, last := map[int64]int{}, map[int64]int64{}
		started := map[int64]bool{}
		apply := func(effects []Effect) {
			for _, effect := range effects {
				switch effect.Kind {
				case EffectEvent:
					if effect.Number != last[effect.Ticket]+1 || !started[effect.Ticket] {
						t.Fatalf("seed %d: stream event %+v, want the event after number %d of a started request", seed, effect, last[effect.Ticket])
					}
					last[effect.Ticket] = effect.Number
				case EffectBegin:
					started[effect.Ticket] = true
				case EffectFinish, EffectReject, EffectExpire:
					ends[effect.Ticket]++
				}
			}
			running, waiting, used := engine.State()
			if running > 4 || running+waiting > 6+1 || used > 1000 || engine.cache.storedTokens+engine.outputTokens() > 1000 {
				t.Fatalf("seed %d: %d running, %d waiting, %d tokens used, %d cached and %d of output; want at most 4 running, 7 running or waiting, 1000 tokens used, and 1000 cached or of output",
					seed, running, waiting, used, engine.cache.storedTokens, engine.outputTokens())
			}
		}
		now, count := clock.Instant(0), int64(0)
		for round := 0; round < 2000; round++ {
			now += clock.Instant(random.Int63n(int64(2 * time.Millisecond)))
			if random.Intn(8) == 0 && round < 1500 {
				count++
				event := arrive(count, 20+random.Int63n(300), 1+random.Int63n(60), Part{strconv.Itoa(random.Intn(4)), 20})
				if random.Intn(5) == 0 {
					event.Request.Work = time.Millisecond * 10
				}
				apply(engine.Step(event, now))
			}
			apply(engine.Step(Event{Kind: EventTick}, now))
		}
		for ticket := int64(1); ticket <= count; ticket++ {
			if ends[ticket] != 1 {
				t.Fatalf("seed %d: ticket %d ended %d times, want once", seed, ticket, ends[ticket])
			}
		}
	}
}
