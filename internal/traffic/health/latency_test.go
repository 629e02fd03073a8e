package health

import (
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
)

// The timeout is derived from the observed latencies, within bounds.
func TestTimeoutFollowsObservedLatencies(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	latency := &Latency{}
	shortest, longest := clock.Milliseconds(40), clock.Milliseconds(900)
	if latency.Timeout(shortest, longest) != longest {
		t.Fatal("want the longest timeout before any observation")
	}
	exceeded := 0
	for count := 0; count < 1000; count++ {
		took := 30 + 20*random.Float64()
		if count > 20 && clock.Milliseconds(took) > latency.Timeout(shortest, longest) {
			exceeded++
		}
		latency.Observe(took)
	}
	if timeout := latency.Timeout(shortest, longest); exceeded > 5 || timeout > clock.Milliseconds(100) {
		t.Fatalf("%d latencies exceeded the timeout, which is now %v; want at most 5 and 100 ms", exceeded, timeout)
	}
	if latency.Timeout(clock.Milliseconds(300), longest) != clock.Milliseconds(300) {
		t.Fatal("the timeout is not limited by the shortest one")
	}
}

// When a whole service becomes slow, not all requests retry on other workers: the retry budget runs
// out, and the observed waits raise the timeout.
func TestRetriesAfterSilenceAreBounded(t *testing.T) {
	latency := &Latency{}
	for count := 0; count < 100; count++ {
		latency.Observe(20)
	}
	shortest, longest := clock.Milliseconds(10), clock.Milliseconds(900)
	before, retries := latency.Timeout(shortest, longest), 0
	for count := 0; count < 200; count++ {
		if limit := latency.Timeout(shortest, longest); limit < clock.Milliseconds(400) && latency.TakeRetry(limit) {
			retries++
			continue
		}
		latency.Observe(400)
	}
	if retries > 60 || latency.Timeout(shortest, longest) < 2*before {
		t.Fatalf("%d retries, timeout raised from %v to %v; want at most 60 retries and at least twice the timeout",
			retries, before, latency.Timeout(shortest, longest))
	}
}
