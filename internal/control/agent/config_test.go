package agent

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/settings"
)

// TestSubscribersEndWithNewestConfiguration guards against an OnConfig function that ends with the
// older of two configurations, because it still handles the older one when the newer one is applied.
func TestSubscribersEndWithNewestConfiguration(t *testing.T) {
	a := New(&settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	apply := func(generation int) {
		a.ApplyConfig([]byte(fmt.Sprintf(`{"generation":%d,"channels":[],"backends":[],"limits":{}}`, generation)))
	}
	var inForce, newerApplied atomic.Int64
	done := make(chan struct{})
	a.OnConfig(func(config *routeconfig.Config) {
		if config.Generation == 1 {
			go func() {
				defer close(done)
				apply(2)
				newerApplied.Store(1)
			}()
			// Yield long enough for the newer configuration to overtake, if that is possible.
			for i := 0; i < 100_000 && newerApplied.Load() == 0; i++ {
				runtime.Gosched()
			}
		}
		inForce.Store(config.Generation)
	})
	apply(1)
	<-done
	if got := inForce.Load(); got != 2 {
		t.Errorf("the OnConfig function ended with generation %d, the process follows %d", got, a.Generation())
	}
}
