package foreman

import (
	"testing"

	"lemonarch/internal/pattern"
)

// Who reads the sets alone gets them as they stand and no body, from an acceptor too;
// the register itself keeps its body.
func TestReadingSetsBringsNoBody(test *testing.T) {
	foreman, server := open(test, test.TempDir(), true)
	if status, body := call(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		test.Fatal(status, body)
	}
	known := foreman.Register.Known()
	promise, failure := foreman.Register.Prepare(&pattern.Prepare{Disk: foreman.Stand.Own.Disk, Query: true, Slim: true})
	if failure != nil || !promise.Granted || promise.Value.Body != nil || len(promise.Value.Acceptors) != len(known.Acceptors) {
		test.Fatal(promise, failure)
	}
	sets, failure := foreman.Register.ReadSets()
	if failure != nil || sets.Body != nil || sets.Current.Generation != 2 || sets.SetEpoch != known.SetEpoch {
		test.Fatal(sets, failure)
	}
	whole, failure := foreman.Register.Read()
	if failure != nil || string(whole.Body) != config(2) {
		test.Fatal(string(whole.Body), failure)
	}
}
