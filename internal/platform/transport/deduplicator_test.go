package transport_test

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/transport"
)

func TestNamedCallIsAcceptedOnce(t *testing.T) {
	deduplicator, now := &transport.Deduplicator{}, clock.Instant(1)
	if !deduplicator.First("a", now) || !deduplicator.First("b", now) || deduplicator.First("a", now) || deduplicator.First("b", now.Add(constants.FrameLifetime)) {
		t.Fatal("a call was accepted twice, or a new one was rejected")
	}
	if first, second := deduplicator.First("", now), deduplicator.First("", now); !first || !second {
		t.Fatal("a call without a name was rejected")
	}
	// A name is dropped once no frame with it can arrive any more; otherwise memory would grow.
	if !deduplicator.First("a", now.Add(constants.FrameLifetime+2)) {
		t.Fatal("the name was not dropped after FrameLifetime")
	}
}
