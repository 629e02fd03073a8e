package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lemonarch/internal/platform/messages"
)

// For any evidence, an effectful request must not run twice, and a client must not receive parts of
// two runs unless the second resumes the first. A request that may be repeated must be retried while the
// client has received no head.
func TestDecideRetry(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("decisions", prop.ForAll(func(kind uint8, resumable, sent, notRun, events, head bool) bool {
		route := messages.RouteKind(kind % 4)
		head = head || events
		sent = sent || head
		notRun = notRun && sent
		decision := DecideRetry(route, resumable, Evidence{Sent: sent, NotRun: notRun, Events: events, Head: head})
		streams := route == messages.RouteStreaming || route == messages.RouteBulk
		retryable := route == messages.RouteIdempotent || (streams && resumable)
		switch {
		case decision == RetryFromStart && head:
			return false
		case decision == RetryFromStart && sent && !notRun && !retryable:
			return false
		case decision == RetryFromEvent:
			return streams && resumable && head
		case decision == RetryNever && !head && (!sent || notRun || retryable):
			return false
		}
		return true
	}, gen.UInt8(), gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool()))
	properties.TestingRun(t)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// Bytes split at any offset must produce the same complete events.
func TestSplitterAtEveryOffset(t *testing.T) {
	text := "lemonarch-weight-versions: 3\n" + event(4) + event(5) + event(6)
	for offset := 0; offset <= len(text); offset++ {
		splitter := &Splitter{NextID: 4}
		first, consecutive := splitter.Feed([]byte(text[:offset]))
		second, secondConsecutive := splitter.Feed([]byte(text[offset:]))
		if !consecutive || !secondConsecutive || string(first)+string(second) != text || len(splitter.Remainder()) > 0 || splitter.LastID != 6 {
			t.Fatalf("split at %d: got events %q and %q, want all of %q", offset, first, second, text)
		}
	}
}

// A resumed stream that repeats or skips an event must be detected, so that the client never receives
// the wrong event.
func TestSplitterRejectsNonConsecutiveIDs(t *testing.T) {
	for _, text := range []string{event(5), event(3), event(4) + event(6), event(4) + event(4)} {
		splitter := &Splitter{NextID: 4}
		if _, consecutive := splitter.Feed([]byte(text)); consecutive {
			t.Fatalf("%q was accepted after event 3", text)
		}
	}
}

func TestEventData(t *testing.T) {
	parts := EventData([]byte(event(1) + "id: 2\ndata: a\ndata: b\n\n"))
	if len(parts) != 2 || string(parts[0]) != "piece 1" || string(parts[1]) != "a\nb" {
		t.Fatalf("got data %q, want \"piece 1\" and \"a\\nb\"", parts)
	}
}

// Hop-by-hop headers and those that the proxy sets itself must not be forwarded, while Connection must
// not be able to remove a header of the protocol.
func TestForwardedHeader(t *testing.T) {
	header := http.Header{}
	header.Set("Connection", "close, X-Hop, Lemonarch-Attempt-Id")
	header.Set("X-Hop", "1")
	header.Set("X-Kept", "2")
	header.Set("Te", "trailers")
	header.Set("Transfer-Encoding", "chunked")
	header.Set("Lemonarch-Time-Left-Ms", "50")
	header.Set("Lemonarch-Target-Worker", "smuggled")
	header.Set("Lemonarch-Attempt-Id", "id")
	forwarded := ForwardedHeader(header)
	if len(forwarded) != 2 || forwarded.Get("X-Kept") != "2" || forwarded.Get("Lemonarch-Attempt-Id") != "id" {
		t.Fatalf("forwarded %v, want X-Kept and Lemonarch-Attempt-Id only", forwarded)
	}
}
