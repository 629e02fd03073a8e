package gateway

import (
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/proxy"
)

// A draining gateway must stop accepting connections after DrainAcceptTime, even while requests are in
// flight: a later request might not be completed before the process is killed.
func TestDrainStopsAcceptingWhileRequestsAreInFlight(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clients := newClientConns(listener, routeconfig.Limits{IdleMs: 5_000, HeaderWaitMs: 3_000})
	busy, _ := idleConnection(clients, bytesArrive)
	if _, err = busy.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	gateway := &Gateway{Proxy: &proxy.Proxy{}}
	gateway.clients.Store(clients)
	if gateway.idle() {
		t.Fatal("idle with a request in flight")
	}
	if late, err := net.Dial("tcp4", listener.Addr().String()); err == nil {
		late.Close()
		t.Error("gateway still accepts connections")
	}
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
