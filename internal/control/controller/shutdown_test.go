package controller

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/fixture"
)

// After the shutdown of a controller that has served, none of its goroutines is left.
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
	fixture.AwaitServing(t, network, controller.Node.Self.Address)
	controller.Shutdown()
	if err = <-ended; err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, others)
}
