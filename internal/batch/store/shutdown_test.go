package store

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/fixture"
)

// A store that has served leaves no goroutine running after its shutdown.
func TestShutdownLeavesNoGoroutine(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", Zone: "h", InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 1200, DataDir: t.TempDir()}
	server, err := New(nodeSettings, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	network := transport.NewMemoryNetwork()
	server.Node.Transport = network.Transport(server.Node.Self.Address)
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	fixture.AwaitServing(t, network, server.Node.Self.Address)
	server.Shutdown()
	if err = <-ended; err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, ignored)
}
