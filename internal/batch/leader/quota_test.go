package leader

import (
	"strings"
	"testing"

	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Jobs that are not yet committed must count against their own route only. Paths must be matched again
// when the configuration changes.
func TestQuotaOfEachRoute(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(7)), 1)
	second := strings.Replace(quotaConfig, `],"backends"`,
		`,{"name":"c","host":"h","path-prefix":"/c/","route-kind":"bulk","backend":"s","tries":2,"retain-s":60,"result-setpoint-ms":9000,"backlog-cap":50}],"backends"`, 1)
	term.process.Node.ApplyConfig([]byte(strings.Replace(second, `"generation":1`, `"generation":2`, 1)))
	config := term.process.Node.Config()
	first, other := jobroute.Of(config, "h", "/b/"), jobroute.Of(config, "h", "/c/")
	if first == nil || other == nil {
		t.Fatal("route not found")
	}
	term.lock.Lock()
	defer term.lock.Unlock()
	term.submissions.quota.addPending(&messages.JobCallRequest{Host: "h", Path: "/b/1", Job: "x"}, 40)
	term.submissions.quota.addPending(&messages.JobCallRequest{Host: "h", Path: "/c/1", Job: "y"}, 7)
	if got := term.waitingTokens(config, first); got != 40 {
		t.Errorf("%d tokens wait on the route /b/, want 40", got)
	}
	if got := term.waitingTokens(config, other); got != 7 {
		t.Errorf("%d tokens wait on the route /c/, want 7", got)
	}
	// The next generation invalidates the cached matches.
	term.process.Node.ApplyConfig([]byte(strings.Replace(second, `"generation":1`, `"generation":3`, 1)))
	config = term.process.Node.Config()
	if got := term.waitingTokens(config, jobroute.Of(config, "h", "/b/")); got != 40 {
		t.Errorf("%d tokens wait on the route /b/ of the next generation, want 40", got)
	}
}
