package loadgen

import (
	"testing"
	"time"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// TestCutsByTheEndOfTheGraceTime checks which cuts the end of a gateway's grace time excuses: of a request
// that was sent at most CutSentLimit after the SIGTERM and cut in the last sixth, and of no other.
func TestCutsByTheEndOfTheGraceTime(t *testing.T) {
	const grace = 6.0
	stops := []lab.GatewayStop{{Ingress: "g", AtNanos: int64(time.Hour), GraceS: grace}}
	for name, test := range map[string]struct {
		node                string
		sentAfter, cutAfter time.Duration
		want                string
	}{
		"sent before, cut at the end":   {"g", -time.Second, 5400 * time.Millisecond, ""},
		"sent in time, cut at the end":  {"g", constants.CutSentLimit, 5400 * time.Millisecond, ""},
		"sent late, cut at the end":     {"g", constants.CutSentLimit + 1, 5400 * time.Millisecond, "LOST "},
		"sent in time, cut early":       {"g", time.Second, 4900 * time.Millisecond, "LOST "},
		"cut long after the grace time": {"g", time.Second, 8 * time.Second, "LOST "},
		"at another gateway":            {"h", time.Second, 5400 * time.Millisecond, "LOST "},
	} {
		sent := &sentAttempt{attempt: "a", cut: true, node: test.node, sentNanos: int64(time.Hour + test.sentAfter), cutNanos: int64(time.Hour + test.cutAfter)}
		if got := rules(checkCuts(map[string]*sentAttempt{"a": sent}, []workeremulator.Run{{Attempt: "a", Worker: "w"}}, stops)); got != test.want {
			t.Errorf("%s: got rules %q, want %q", name, got, test.want)
		}
	}
}

// TestAttemptsAtDrainingGatewaysAreCounted checks that the report tells how often the state was reached that
// the soak is meant to test.
func TestAttemptsAtDrainingGatewaysAreCounted(t *testing.T) {
	stops := []lab.GatewayStop{{Ingress: "g", AtNanos: int64(time.Hour), ExitNanos: int64(time.Hour + 5*time.Second), GraceS: 5}}
	at := func(node string, after time.Duration, refused bool) *sentAttempt {
		return &sentAttempt{node: node, sentNanos: int64(time.Hour + after), notExecuted: refused}
	}
	result := newResult("test")
	result.countDraining(map[string]*sentAttempt{"before": at("g", -time.Second, false), "early": at("g", time.Second, false),
		"late": at("g", 4*time.Second, true), "after": at("g", 6*time.Second, false), "other": at("h", time.Second, false)}, stops)
	if want := (DrainCounts{Sent: 2, Late: 1, Refused: 1}); result.Draining != want || result.GatewayStops != 1 {
		t.Errorf("got %+v at %d stops, want %+v at 1", result.Draining, result.GatewayStops, want)
	}
}

// TestLateRunsAreFound checks that a run of a request is found which was sent later than CutSentLimit after the
// SIGTERM of its gateway, and before its exit; after the exit another process has the address.
func TestLateRunsAreFound(t *testing.T) {
	stops := []lab.GatewayStop{{Ingress: "g", AtNanos: int64(time.Hour), ExitNanos: int64(time.Hour + 5*time.Second), GraceS: 5}}
	for name, test := range map[string]struct {
		node  string
		after time.Duration
		want  string
	}{
		"before":             {"g", -time.Second, ""},
		"in time":            {"g", constants.CutSentLimit, ""},
		"late":               {"g", constants.CutSentLimit + 1, "LATE "},
		"after the exit":     {"g", 5 * time.Second, ""},
		"at another gateway": {"h", constants.CutSentLimit + 1, ""},
	} {
		sent := &sentAttempt{attempt: "a", node: test.node, sentNanos: int64(time.Hour + test.after)}
		if got := rules(checkLateRuns(map[string]*sentAttempt{"a": sent}, []workeremulator.Run{{Attempt: "a", Worker: "w"}}, stops)); got != test.want {
			t.Errorf("%s: got rules %q, want %q", name, got, test.want)
		}
	}
}
