package health

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

const second = clock.Instant(1_000_000_000)

func names(count int) []string {
	var found []string
	for place := 0; place < count; place++ {
		found = append(found, fmt.Sprintf("w%02d", place))
	}
	return found
}

func never(string) bool  { return false }
func always(string) bool { return true }

// Of twenty workers two fail 45 of 100 requests; the others lose 1 of 100. Whoever is
// ejected gets nothing but trials. The ill ones must come to get less than half of
// their part, at half a request a second and worker.
func TestGreyWorkersAreLeftOut(t *testing.T) {
	const seeds = 20
	total := 0
	for seed := int64(1); seed <= seeds; seed++ {
		random := rand.New(rand.NewSource(seed))
		tracker, workerList := New(), names(20)
		sent := map[string]int{}
		now := second
		for count := 0; count < 600; count++ {
			now = now.Add(100_000_000)
			apart := tracker.Apart(workerList, true, always, now)
			var open []string
			for _, worker := range workerList {
				if !apart[worker] {
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
				tracker.Troubled(worker, "s", TroubleReset, now)
			} else {
				tracker.Went(worker, "s", now)
			}
		}
		ill := sent["w00"] + sent["w01"]
		total += ill
		if ill > 50 {
			t.Fatalf("seed %d: the ill pair got %d of 600 requests, their part is 60", seed, ill)
		}
	}
	if total > seeds*30 {
		t.Fatalf("the ill pairs got %d requests, over half of their part", total)
	}
}

// However many fail, no more than the share is ejected, and the only worker never is.
func TestNeverMoreThanAShareIsEjected(t *testing.T) {
	for _, count := range []int{1, 2, 4, 9, 60} {
		tracker, workerList := New(), names(count)
		now := second
		for round := 0; round < 6; round++ {
			for _, worker := range workerList {
				tracker.Troubled(worker, "s", TroubleRefused, now)
				now++
			}
		}
		most := int(constants.EjectShare * float64(count))
		if most == 0 && count > 1 {
			most = 1
		}
		if apart := tracker.Apart(workerList, false, never, now); len(apart) > most {
			t.Fatalf("%d of %d ejected", len(apart), count)
		}
	}
}

// The ones over the share are those that fail least.
func TestTheWorstAreEjected(t *testing.T) {
	tracker, workerList := New(), names(4)
	now := second
	for _, worker := range []string{"w01", "w03"} {
		tracker.Troubled(worker, "s", TroubleError, now)
	}
	tracker.Troubled("w03", "s", TroubleError, now)
	if apart := tracker.Apart(workerList, false, never, now+1); len(apart) != 1 || !apart["w03"] {
		t.Fatal(apart)
	}
}

// Each ejection lasts twice as long as the one before, up to a most.
func TestEjectionsGrow(t *testing.T) {
	tracker, now := New(), second
	names := names(5)
	for _, worker := range names[1:] {
		tracker.Went(worker, "s", now)
	}
	want := constants.EjectFor
	for round := 0; round < 6; round++ {
		span := tracker.Troubled("w00", "s", TroubleRefused, now)
		if span != want {
			t.Fatalf("round %d: ejected for %v, want %v", round, span, want)
		}
		if more := tracker.Troubled("w00", "s", TroubleRefused, now+1); more != 0 {
			t.Fatal("ejected anew while ejected")
		}
		now = now.Add(span)
		want = min(2*want, constants.EjectFor<<constants.EjectLevels)
	}
	later := now.Add(constants.EjectForget + 1)
	if span := tracker.Troubled("w00", "s", TroubleRefused, later); span != constants.EjectFor {
		t.Fatal("an old failure still counts: ", span)
	}
}

// After its time a worker gets one repeatable request at a time, and is back with the
// first that goes well; a failure ejects it for longer.
func TestReturnByTrials(t *testing.T) {
	tracker, workerList := New(), names(4)
	span := tracker.Troubled("w00", "s", TroubleSilent, second)
	if !tracker.Apart(workerList, true, always, second+1)["w00"] {
		t.Fatal("placed on while ejected")
	}
	now := second.Add(span)
	switch {
	case tracker.Apart(workerList, true, always, now)["w00"]:
		t.Fatal("no trial")
	case !tracker.Apart(workerList, true, never, now)["w00"]:
		t.Fatal("two trials at a time")
	case !tracker.Apart(workerList, false, always, now)["w00"]:
		t.Fatal("a request that must not run twice is no trial")
	}
	if !tracker.Went("w00", "s", now) || tracker.Apart(workerList, false, never, now)["w00"] {
		t.Fatal("a trial that went well brings it back")
	}
	other := tracker.Troubled("w01", "s", TroubleSilent, now)
	// Without trials, time alone brings it back.
	end := now.Add(3*other + 1)
	tracker.SweepTrust(end)
	if tracker.Apart(workerList, false, never, end)["w01"] {
		t.Fatal("a service without repeatable requests keeps a worker out for good")
	}
}

// A service of which everybody fails has no worker that stands out.
func TestWhatIsUsualEjectsNobody(t *testing.T) {
	tracker, workerList := New(), names(9)
	random := rand.New(rand.NewSource(5))
	now := second
	for count := 0; count < 400; count++ {
		now = now.Add(20_000_000)
		worker := workerList[random.Intn(len(workerList))]
		if random.Float64() < 0.4 {
			span := tracker.Troubled(worker, "s", TroubleError, now)
			if span > 0 && count > 200 {
				t.Fatalf("%s ejected for %v though all fail alike", worker, span)
			}
		} else {
			tracker.Went(worker, "s", now)
		}
	}
}

// Whole answers of our own speak louder than peers.
func TestOwnResultsGoBeforeHearsay(t *testing.T) {
	tracker := New()
	trust := tracker.Trust("w00", "s")
	if trust.Proven(second) {
		t.Fatal("proven by nothing")
	}
	tracker.Went("w00", "s", second)
	tracker.Went("w00", "s", second)
	if !trust.Proven(second + 1) {
		t.Fatal("two whole answers prove nothing")
	}
	if trust.Proven(second.Add(8 * constants.HealthHalfLife)) {
		t.Fatal("old answers still prove")
	}
	tracker.Troubled("w00", "s", TroubleReset, second+2)
	if trust.Proven(second + 3) {
		t.Fatal("proven though one of three fails")
	}
}

// Lives that die without a word at one address: the first successor is trusted, later
// ones are held back for a growing time; orderly ends and other services count nothing.
func TestFlappingLives(t *testing.T) {
	tracker := New()
	now := second
	var spans []clock.Duration
	for life := 0; life < 6; life++ {
		spans = append(spans, tracker.Born(fmt.Sprint("life", life), "s", "a:1", false, now))
		if again := tracker.Born(fmt.Sprint("life", life), "s", "a:1", false, now); again != 0 {
			t.Fatal("a word heard twice is a death")
		}
		now = now.Add(1_400_000_000)
	}
	want := []clock.Duration{0, 0, constants.EjectFor, 2 * constants.EjectFor, 4 * constants.EjectFor, 8 * constants.EjectFor}
	for place := range want {
		if spans[place] != want[place] {
			t.Fatal(spans)
		}
	}
	if tracker.Born("other", "t", "a:1", false, now) != 0 {
		t.Fatal("another service's past counts")
	}
	atOnce := New()
	for life := 0; life < 6; life++ {
		if atOnce.Born(fmt.Sprint("life", life), "s", "a:1", false, now) != 0 {
			t.Fatal("lives told of in one word count as deaths")
		}
	}
	orderly := New()
	for life := 0; life < 6; life++ {
		if orderly.Born(fmt.Sprint("life", life), "s", "a:1", true, now) != 0 {
			t.Fatal("leaving in order counts as flapping")
		}
	}
	seldom := New()
	for life := 0; life < 6; life++ {
		if seldom.Born(fmt.Sprint("life", life), "s", "a:1", false, now) != 0 {
			t.Fatal("deaths far apart count as flapping")
		}
		now = now.Add(constants.FlapWindow + 1)
	}
}
