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

// Two configurations come at nearly one time, and a part is still busy with the older one when
// the newer one is applied: the part ends with the newer one.
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
			// Long enough for the newer one to pass, if it may.
			for i := 0; i < 100_000 && newerApplied.Load() == 0; i++ {
				runtime.Gosched()
			}
		}
		inForce.Store(config.Generation)
	})
	apply(1)
	<-done
	if got := inForce.Load(); got != 2 {
		t.Errorf("the part goes by generation %d, the process by %d", got, a.Generation())
	}
}
