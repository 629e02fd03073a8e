package loadgen

import (
	"testing"
	"time"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/lab"
)

// TestOlderConfigurationsAreFound checks that a read which returns an older generation than one acknowledged
// ConfigConverge before it was sent is a finding, and no other read.
func TestOlderConfigurationsAreFound(t *testing.T) {
	acknowledged := []lab.AcknowledgedGeneration{{Generation: 1, AtNanos: 0}, {Generation: 3, AtNanos: int64(time.Minute)}, {Generation: 2, AtNanos: int64(time.Second)}}
	at := func(after time.Duration) int64 { return int64(time.Minute + after) }
	for name, test := range map[string]struct {
		read configRead
		want string
	}{
		"newest":           {configRead{generation: 3, sentNanos: at(time.Hour)}, ""},
		"not yet bound":    {configRead{generation: 2, sentNanos: at(constants.ConfigConverge - 1)}, ""},
		"too old":          {configRead{generation: 2, sentNanos: at(constants.ConfigConverge)}, "CONFIG "},
		"newer than known": {configRead{generation: 4, sentNanos: at(time.Hour)}, ""},
		"malformed":        {configRead{malformed: true, sentNanos: at(0)}, "CONFIG "},
	} {
		if got := rules(checkConfigReads([]configRead{test.read}, acknowledged)); got != test.want {
			t.Errorf("%s: got rules %q, want %q", name, got, test.want)
		}
	}
	if got := rules(checkConfigReads(nil, append(acknowledged, acknowledged[1]))); got != "CONFIG " {
		t.Errorf("generation acknowledged twice: got rules %q, want CONFIG", got)
	}
}
