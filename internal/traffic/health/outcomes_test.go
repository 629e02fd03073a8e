package health

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

const second = clock.Instant(1_000_000_000)

func workerNames(count int) []string {
	var found []string
	for i := 0; i < count; i++ {
		found = append(found, fmt.Sprintf("w%02d", i))
	}
	return found
}

func never(string) bool  { return false }
func always(string) bool { return true }

// Of 20 workers two fail 45 of 100 requests and the others 1 of 100. Ejected workers receive only
// trials. At half a request per second and worker, the two failing workers must receive at most 50
// of 600 requests with any seed, and on average over the seeds at most half of their proportional
// share, which is 60.
func TestPartlyFailingWorkersAreEjected(t *testing.T) {
	const seeds = 20
	total := 0
	for seed := int64(1); seed <= seeds; seed++ {
		random := rand.New(rand.NewSource(seed))
		tracker, workerList := New(), workerNames(20)
		sent := map[string]int{}
		now := second
		for count := 0; count < 600; count++ {
			now = now.Add(100_000_000)
			ejected := tracker.Ejected(workerList, true, always, now)
			var open []string
			for _, worker := range workerList {
				if !ejected[worker] {
					open = append(open, worker)
				}
			}
			worker := open[random.Intn(len(open))]
			sent[worker]++
			probability := 0.01
			if worker < "w02" {
				probability = 0.45
			}
			if random.Float64() < probability {
				tracker.RecordFault(worker, "s", FaultReset, now)
			} else {
				tracker.RecordSuccess(worker, "s", now)
			}
		}
		unhealthy := sent["w00"] + sent["w01"]
		total += unhealthy
		if unhealthy > 50 {
			t.Fatalf("seed %d: the failing pair got %d of 600 requests, want at most 50 (their proportional share is 60)", seed, unhealthy)
		}
	}
	if total > seeds*30 {
		t.Fatalf("the failing pairs got %d requests in %d seeds, want at most 30 per seed (half of their proportional share)", total, seeds)
	}
}

// No more than constants.EjectShare of the workers (or one, if that rounds down to none of several) is
// ejected however many fail, and a service's only worker never is.
func TestNeverMoreThanAShareIsEjected(t *testing.T) {
	for _, count := range []int{1, 2, 4, 9, 60} {
		tracker, workerList := New(), workerNames(count)
		now := second
		for round := 0; round < 6; round++ {
			for _, worker := range workerList {
				tracker.RecordFault(worker, "s", FaultRefused, now)
				now++
			}
		}
		maxEjected := int(constants.EjectShare * float64(count))
		if maxEjected == 0 && count > 1 {
			maxEjected = 1
		}
		if ejected := tracker.Ejected(workerList, false, never, now); len(ejected) > maxEjected {
			t.Fatalf("%d of %d workers ejected, want at most %d", len(ejected), count, maxEjected)
		}
	}
}

// If more workers qualify than may be ejected, those that fail most are ejected.
func TestWorstWorkersAreEjectedFirst(t *testing.T) {
	tracker, workerList := New(), workerNames(4)
	now := second
	for _, worker := range []string{"w01", "w03"} {
		tracker.RecordFault(worker, "s", FaultError, now)
	}
	tracker.RecordFault("w03", "s", FaultError, now)
	if ejected := tracker.Ejected(workerList, false, never, now+1); len(ejected) != 1 || !ejected["w03"] {
		t.Fatalf("ejected workers %v, want only w03", ejected)
	}
}

// Each ejection lasts twice as long as the previous one, up to a maximum. After more than
// constants.EjectForget without a failure, the next one lasts as long as the first.
func TestEjectionsLengthen(t *testing.T) {
	tracker, now := New(), second
	names := workerNames(5)
	for _, worker := range names[1:] {
		tracker.RecordSuccess(worker, "s", now)
	}
	want := constants.EjectFor
	for round := 0; round < 6; round++ {
		duration := tracker.RecordFault("w00", "s", FaultRefused, now)
		if duration != want {
			t.Fatalf("round %d: ejected for %v, want %v", round, duration, want)
		}
		if again := tracker.RecordFault("w00", "s", FaultRefused, now+1); again != 0 {
			t.Fatalf("round %d: ejected again for %v while already ejected, want 0", round, again)
		}
		now = now.Add(duration)
		want = min(2*want, constants.EjectFor<<constants.EjectLevels)
	}
	later := now.Add(constants.EjectForget + 1)
	if duration := tracker.RecordFault("w00", "s", FaultRefused, later); duration != constants.EjectFor {
		t.Fatalf("ejected for %v, want %v: an old failure still lengthens the ejection", duration, constants.EjectFor)
	}
}

// After its first ejection a worker receives one retryable request at a time. It returns with the
// first trial that succeeds, or without trials when its trial period has passed.
func TestReturnAfterTrial(t *testing.T) {
	tracker, workerList := New(), workerNames(4)
	duration := tracker.RecordFault("w00", "s", FaultTimeout, second)
	if !tracker.Ejected(workerList, true, always, second+1)["w00"] {
		t.Fatal("an ejected worker is not in the ejected set")
	}
	now := second.Add(duration)
	switch {
	case tracker.Ejected(workerList, true, always, now)["w00"]:
		t.Fatal("an idle worker on trial got no retryable request")
	case !tracker.Ejected(workerList, true, never, now)["w00"]:
		t.Fatal("a second trial was allowed while one is running")
	case !tracker.Ejected(workerList, false, always, now)["w00"]:
		t.Fatal("a request that is not retryable was allowed as a trial")
	}
	if !tracker.RecordSuccess("w00", "s", now) || tracker.Ejected(workerList, false, never, now)["w00"] {
		t.Fatal("the worker did not return after a successful trial")
	}
	secondDuration := tracker.RecordFault("w01", "s", FaultTimeout, now)
	// Without trials, the worker returns when the trial period has passed.
	end := now.Add(3*secondDuration + 1)
	tracker.Sweep(end)
	if tracker.Ejected(workerList, false, never, end)["w01"] {
		t.Fatal("a worker without trials did not return after its trial period")
	}
}

// If all workers of a service fail at the same rate, none clearly exceeds the median, and none is
// ejected once enough outcomes are recorded (after the first 200 requests).
func TestUniformFailureRateEjectsNoWorker(t *testing.T) {
	tracker, workerList := New(), workerNames(9)
	random := rand.New(rand.NewSource(5))
	now := second
	for count := 0; count < 400; count++ {
		now = now.Add(20_000_000)
		worker := workerList[random.Intn(len(workerList))]
		if random.Float64() < 0.4 {
			duration := tracker.RecordFault(worker, "s", FaultError, now)
			if duration > 0 && count > 200 {
				t.Fatalf("%s ejected for %v although all workers fail at the same rate", worker, duration)
			}
		} else {
			tracker.RecordSuccess(worker, "s", now)
		}
	}
}

// Recent complete responses prove a worker healthy. Old ones do not, nor do two beside a failure.
func TestOwnOutcomesProveHealthy(t *testing.T) {
	tracker := New()
	outcomes := tracker.OutcomesOf("w00", "s")
	if outcomes.ProvenHealthy(second) {
		t.Fatal("proven healthy without any outcome")
	}
	tracker.RecordSuccess("w00", "s", second)
	tracker.RecordSuccess("w00", "s", second)
	if !outcomes.ProvenHealthy(second + 1) {
		t.Fatal("not proven healthy by two complete responses")
	}
	if outcomes.ProvenHealthy(second.Add(8 * constants.HealthHalfLife)) {
		t.Fatal("still proven healthy by old responses")
	}
	tracker.RecordFault("w00", "s", FaultReset, second+2)
	if outcomes.ProvenHealthy(second + 3) {
		t.Fatal("proven healthy although one of three requests failed")
	}
}

// Incarnations at one address that end without draining: the first successor is not ejected, later
// ones are ejected for a growing time. Orderly ends, other services' incarnations, incarnations in one
// update, and ends more than constants.FlapWindow after the start do not count.
func TestFlappingIncarnationsAreEjected(t *testing.T) {
	tracker := New()
	now := second
	var durations []clock.Duration
	for incarnation := 0; incarnation < 6; incarnation++ {
		durations = append(durations, tracker.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now))
		if again := tracker.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now); again != 0 {
			t.Fatalf("incarnation %d: a repeated update counted as a crash and ejected it for %v", incarnation, again)
		}
		now = now.Add(1_400_000_000)
	}
	want := []clock.Duration{0, 0, constants.EjectFor, 2 * constants.EjectFor, 4 * constants.EjectFor, 8 * constants.EjectFor}
	for i := range want {
		if durations[i] != want[i] {
			t.Fatalf("ejection durations %v, want %v", durations, want)
		}
	}
	if tracker.ObserveIncarnation("other", "t", "a:1", false, now) != 0 {
		t.Fatal("the history of another service counted")
	}
	atOnce := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if atOnce.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now) != 0 {
			t.Fatal("incarnations in one update counted as crashes")
		}
	}
	orderly := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if orderly.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", true, now) != 0 {
			t.Fatal("orderly ends counted as flapping")
		}
	}
	farApart := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if farApart.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now) != 0 {
			t.Fatal("crashes far apart counted as flapping")
		}
		now = now.Add(constants.FlapWindow + 1)
	}
}
