package store

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// A store that has served leaves no goroutine behind after its shutdown.
func TestShutdownLeavesNoGoroutine(t *testing.T) {
	others := goleak.IgnoreCurrent()
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
	awaitServing(t, network, server.Node.Self.Address)
	server.Shutdown()
	if err = <-ended; err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, others)
}

// awaitServing waits until a process answers status queries.
func awaitServing(t *testing.T, network *transport.MemoryNetwork, address string) {
	t.Helper()
	const attempts = 200
	for attempt := 0; attempt < attempts; attempt++ {
		req, resp := &messages.StatusRequest{Query: "config"}, &messages.StatusResponse{}
		if transport.Call(network.Transport("client"), address, messages.KindStatus, req, resp, constants.CallTimeout) == nil {
			return
		}
		<-clock.After(constants.TickPeriod / 5)
	}
	t.Fatal("does not serve")
}
