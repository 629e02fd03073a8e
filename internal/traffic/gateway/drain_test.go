package gateway

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// A draining gateway must stop accepting connections after DrainAcceptTime, even while requests are in
// flight: a later request might not be completed before the process is killed.
func TestDrainStopsAcceptingWhileRequestsAreInFlight(t *testing.T) {
	d := newDrainingGateway(t, 12)
	busy := d.dial()
	busy.send(requestHead("POST", "/plain/1", "busy", 0))
	d.awaitRun("busy")
	d.shutDown()
	d.awaitEndOfAccepting()
	if active := d.gateway.Proxy.Active(); active != 1 {
		t.Errorf("%d requests in flight at the end of accepting, want 1", active)
	}
	if len(d.stopped) > 0 {
		t.Error("the gateway has stopped with a request in flight")
	}
	close(d.worker.finish)
	busy.expectComplete("request in flight")
	<-d.stopped
}

// A gateway must leave no goroutine running after its shutdown.
func TestShutdownLeavesNoGoroutine(t *testing.T) {
	others := goleak.IgnoreCurrent()
	nodeSettings := &settings.Settings{NodeName: "g", Address: "10.0.0.1", Zone: "h", InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 1200}
	nodeSettings.Tolerances.GraceS = 0.7
	nodeSettings.Bind.Ingress, nodeSettings.Bind.Readiness = "127.0.0.1:0", "127.0.0.1:0"
	gateway := New(nodeSettings, hclog.NewNullLogger())
	network := transport.NewMemoryNetwork()
	gateway.Node.Transport = network.Transport(gateway.Node.Self.Address)
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run() }()
	const config = `{"generation":1,"channels":[],"backends":[],"limits":{"max-header-bytes":8192,"max-body-bytes":1000,"header-wait-ms":3000,"idle-ms":5000}}`
	gateway.Node.ApplyConfig([]byte(config))
	for gateway.clients.Load() == nil {
		<-clock.After(constants.TickPeriod / 5)
	}
	gateway.Shutdown()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, others)
}
