package controller

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

// Who reads the sets alone gets them as they stand and no body, from an acceptor too;
// the register itself keeps its body.
func TestReadingSetsBringsNoBody(test *testing.T) {
	controller, server := open(test, test.TempDir(), true)
	if status, body := clearCall(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		test.Fatal(status, body)
	}
	known := controller.Register.Known()
	promise, err := controller.Register.Prepare(&messages.Prepare{Disk: controller.Node.Own.Disk, Query: true, Slim: true})
	if err != nil || !promise.Granted || promise.Value.Body != nil || len(promise.Value.Acceptors) != len(known.Acceptors) {
		test.Fatal(promise, err)
	}
	sets, err := controller.Register.ReadSets()
	if err != nil || sets.Body != nil || sets.Current.Generation != 2 || sets.SetEpoch != known.SetEpoch {
		test.Fatal(sets, err)
	}
	whole, err := controller.Register.Read()
	if err != nil || string(whole.Body) != config(2) {
		test.Fatal(string(whole.Body), err)
	}
}
