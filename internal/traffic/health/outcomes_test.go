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

// Of twenty workers two fail 45 of 100 requests; the others lose 1 of 100. Whoever is
// ejected gets nothing but trials. The ill ones must come to get less than half of
// their part, at half a request a second and worker.
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
			chance := 0.01
			if worker < "w02" {
				chance = 0.45
			}
			if random.Float64() < chance {
				tracker.RecordFault(worker, "s", FaultReset, now)
			} else {
				tracker.RecordSuccess(worker, "s", now)
			}
		}
		unhealthy := sent["w00"] + sent["w01"]
		total += unhealthy
		if unhealthy > 50 {
			t.Fatalf("seed %d: the ill pair got %d of 600 requests, their part is 60", seed, unhealthy)
		}
	}
	if total > seeds*30 {
		t.Fatalf("the ill pairs got %d requests, over half of their part", total)
	}
}

// However many fail, no more than the share is ejected, and the only worker never is.
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
		most := int(constants.EjectShare * float64(count))
		if most == 0 && count > 1 {
			most = 1
		}
		if ejected := tracker.Ejected(workerList, false, never, now); len(ejected) > most {
			t.Fatalf("%d of %d ejected", len(ejected), count)
		}
	}
}

// The ones over the share are those that fail least.
func TestWorstWorkersAreEjectedFirst(t *testing.T) {
	tracker, workerList := New(), workerNames(4)
	now := second
	for _, worker := range []string{"w01", "w03"} {
		tracker.RecordFault(worker, "s", FaultError, now)
	}
	tracker.RecordFault("w03", "s", FaultError, now)
	if ejected := tracker.Ejected(workerList, false, never, now+1); len(ejected) != 1 || !ejected["w03"] {
		t.Fatal(ejected)
	}
}

// Each ejection lasts twice as long as the one before, up to a most.
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
		if more := tracker.RecordFault("w00", "s", FaultRefused, now+1); more != 0 {
			t.Fatal("ejected anew while ejected")
		}
		now = now.Add(duration)
		want = min(2*want, constants.EjectFor<<constants.EjectLevels)
	}
	later := now.Add(constants.EjectForget + 1)
	if duration := tracker.RecordFault("w00", "s", FaultRefused, later); duration != constants.EjectFor {
		t.Fatal("an old failure still counts: ", duration)
	}
}

// After its time a worker gets one repeatable request at a time, and is back with the
// first that goes well; a failure ejects it for longer.
func TestReturnAfterTrial(t *testing.T) {
	tracker, workerList := New(), workerNames(4)
	duration := tracker.RecordFault("w00", "s", FaultTimeout, second)
	if !tracker.Ejected(workerList, true, always, second+1)["w00"] {
		t.Fatal("placed on while ejected")
	}
	now := second.Add(duration)
	switch {
	case tracker.Ejected(workerList, true, always, now)["w00"]:
		t.Fatal("no trial")
	case !tracker.Ejected(workerList, true, never, now)["w00"]:
		t.Fatal("two trials at a time")
	case !tracker.Ejected(workerList, false, always, now)["w00"]:
		t.Fatal("a request that must not run twice is no trial")
	}
	if !tracker.RecordSuccess("w00", "s", now) || tracker.Ejected(workerList, false, never, now)["w00"] {
		t.Fatal("a trial that went well brings it back")
	}
	other := tracker.RecordFault("w01", "s", FaultTimeout, now)
	// Without trials, time alone brings it back.
	end := now.Add(3*other + 1)
	tracker.Sweep(end)
	if tracker.Ejected(workerList, false, never, end)["w01"] {
		t.Fatal("a service without repeatable requests keeps a worker out for good")
	}
}

// A service of which everybody fails has no worker that stands out.
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
				t.Fatalf("%s ejected for %v though all fail alike", worker, duration)
			}
		} else {
			tracker.RecordSuccess(worker, "s", now)
		}
	}
}

// Whole answers of our own speak louder than peers.
func TestOwnOutcomesProveHealthy(t *testing.T) {
	tracker := New()
	outcomes := tracker.OutcomesOf("w00", "s")
	if outcomes.ProvenHealthy(second) {
		t.Fatal("proven by nothing")
	}
	tracker.RecordSuccess("w00", "s", second)
	tracker.RecordSuccess("w00", "s", second)
	if !outcomes.ProvenHealthy(second + 1) {
		t.Fatal("two whole answers prove nothing")
	}
	if outcomes.ProvenHealthy(second.Add(8 * constants.HealthHalfLife)) {
		t.Fatal("old answers still prove")
	}
	tracker.RecordFault("w00", "s", FaultReset, second+2)
	if outcomes.ProvenHealthy(second + 3) {
		t.Fatal("proven though one of three fails")
	}
}

// Lives that die without a word at one address: the first successor is trusted, later
// ones are held back for a growing time; orderly ends and other services count nothing.
func TestFlappingIncarnations(t *testing.T) {
	tracker := New()
	now := second
	var spans []clock.Duration
	for incarnation := 0; incarnation < 6; incarnation++ {
		spans = append(spans, tracker.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now))
		if again := tracker.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now); again != 0 {
			t.Fatal("a word heard twice is a death")
		}
		now = now.Add(1_400_000_000)
	}
	want := []clock.Duration{0, 0, constants.EjectFor, 2 * constants.EjectFor, 4 * constants.EjectFor, 8 * constants.EjectFor}
	for i := range want {
		if spans[i] != want[i] {
			t.Fatal(spans)
		}
	}
	if tracker.ObserveIncarnation("other", "t", "a:1", false, now) != 0 {
		t.Fatal("another service's past counts")
	}
	atOnce := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if atOnce.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now) != 0 {
			t.Fatal("lives told of in one word count as deaths")
		}
	}
	orderly := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if orderly.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", true, now) != 0 {
			t.Fatal("leaving in order counts as flapping")
		}
	}
	seldom := New()
	for incarnation := 0; incarnation < 6; incarnation++ {
		if seldom.ObserveIncarnation(fmt.Sprint("life", incarnation), "s", "a:1", false, now) != 0 {
			t.Fatal("deaths far apart count as flapping")
		}
		now = now.Add(constants.FlapWindow + 1)
	}
}
