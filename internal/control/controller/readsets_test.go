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
		t.Fatal(status, body)
	}
	known := controller.Register.Known()
	promise, err := controller.Register.Prepare(&messages.PrepareRequest{Disk: controller.Node.Self.Disk, Query: true, WithoutBody: true})
	if err != nil || !promise.Granted || promise.Value.Body != nil || len(promise.Value.Acceptors) != len(known.Acceptors) {
		t.Fatal(promise, err)
	}
	sets, err := controller.Register.ReadSets()
	if err != nil || sets.Body != nil || sets.Current.Generation != 2 || sets.SetEpoch != known.SetEpoch {
		t.Fatal(sets, err)
	}
	complete, err := controller.Register.Read()
	if err != nil || string(complete.Body) != config(2) {
		t.Fatal(string(complete.Body), err)
	}
}
