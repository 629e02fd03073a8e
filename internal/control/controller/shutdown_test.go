package controller

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A controller that has served leaves no goroutine behind after its shutdown.
func TestShutdownLeavesNoGoroutine(t *testing.T) {
	others := goleak.IgnoreCurrent()
	nodeSettings := nodeSettings(t.TempDir(), true)
	nodeSettings.Bind.Control = "127.0.0.1:0"
	controller, err := New(nodeSettings, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	network := transport.NewMemoryNetwork()
	controller.Node.Transport = network.Transport(controller.Node.Self.Address)
	ended := make(chan error, 1)
	go func() { ended <- controller.Run() }()
	awaitServing(t, network, controller.Node.Self.Address)
	controller.Shutdown()
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
