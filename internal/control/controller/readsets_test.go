package controller

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

// A read of only the sets returns the current sets without the body of the value, and so does a query of an
// acceptor. The value in the register keeps its body.
func TestReadSetsOmitsTheBody(t *testing.T) {
	controller, server := open(t, t.TempDir(), true)
	if status, body := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatalf("replacing the configuration: got status %d (%s), want 200", status, body)
	}
	known := controller.Register.Known()
	promise, err := controller.Register.Prepare(&messages.PrepareRequest{Disk: controller.Node.Self.Disk, Query: true, WithoutBody: true})
	if err != nil || !promise.Granted || promise.Value.Body != nil || len(promise.Value.Acceptors) != len(known.Acceptors) {
		t.Fatalf("query without body: got %+v, error %v, want it granted with the acceptors and no body", promise, err)
	}
	sets, err := controller.Register.ReadSets()
	if err != nil || sets.Body != nil || sets.Current.Generation != 2 || sets.SetEpoch != known.SetEpoch {
		t.Fatalf("ReadSets: got %+v, error %v, want generation 2, the current set epoch and no body", sets, err)
	}
	complete, err := controller.Register.Read()
	if err != nil || string(complete.Body) != config(2) {
		t.Fatalf("Read: got body %q, error %v, want the configuration of generation 2", string(complete.Body), err)
	}
}
