package store

import (
	"strings"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Lots on their way to the stores count against their own route only, and a place
// is matched anew when the configuration changes.
func TestQuotaOfEachRoute(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(7)), 1)
	second := strings.Replace(quotaConfig, `],"backends"`,
		`,{"name":"c","host":"h","path-prefix":"/c/","route-kind":"bulk","backend":"s","tries":2,"retain-s":60,"result-setpoint-ms":9000,"backlog-cap":50}],"backends"`, 1)
	one.server.Node.Take([]byte(strings.Replace(second, `"generation":1`, `"generation":2`, 1)))
	config := one.server.Node.Config()
	first, other := routeOf(config, "h", "/b/"), routeOf(config, "h", "/c/")
	if first == nil || other == nil {
		t.Fatal("no such route")
	}
	one.lock.Lock()
	defer one.lock.Unlock()
	one.quota.comes(&messages.LotCall{Host: "h", Path: "/b/1", Lot: "x"}, 40)
	one.quota.comes(&messages.LotCall{Host: "h", Path: "/c/1", Lot: "y"}, 7)
	if got := one.waiting(config, first); got != 40 {
		t.Error(got)
	}
	if got := one.waiting(config, other); got != 7 {
		t.Error(got)
	}
	// The next version makes the matches of the last one worthless.
	one.server.Node.Take([]byte(strings.Replace(second, `"generation":1`, `"generation":3`, 1)))
	config = one.server.Node.Config()
	if got := one.waiting(config, routeOf(config, "h", "/b/")); got != 40 {
		t.Error(got)
	}
}
