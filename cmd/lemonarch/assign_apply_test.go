package main

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/controller"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/fleetshell"
)

// newControllerFleet returns a fleet of one controller on an in-memory transport.
func newControllerFleet(t *testing.T) (*transport.MemoryNetwork, *fleetshell.Shell) {
	t.Helper()

	nodeSettings := &settings.Settings{NodeName: "m", Address: "127.0.0.1", Zone: "h", InternalPorts: []int{21100, 21110},
		Seeds: []string{"127.0.0.1:21000"}, Bootstrap: true, DataDir: t.TempDir(), HeartbeatMs: 1200}
	process, err := controller.New(nodeSettings, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	network := transport.NewMemoryNetwork()
	address := process.Node.Self.Address
	process.Node.Transport = network.Transport(address)
	if err = process.Node.Transport.Serve(process.Node.Dispatch); err != nil {
		t.Fatal(err)
	}
	shell, err := fleetshell.New(network.Transport("operator"), address, clock.Milliseconds(2000))
	if err != nil {
		t.Fatal(err)
	}
	return network, shell
}

// runApply applies a rules file and returns the output, the diagnostics, the exit code and the error text.
func runApply(shell *fleetshell.Shell, path string) (output, diagnostics string, code int, errText string) {
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	if err := apply(out, errOut, shell, path, "json"); err != nil {
		code, errText = exitUnusable, err.Error()
		if exit := (exitError{}); errors.As(err, &exit) {
			code = exit.code
		}
	}
	return out.String(), errOut.String(), code, errText
}

func TestApplyThroughAController(t *testing.T) {
	network, shell := newControllerFleet(t)
	text, _ := os.ReadFile(exampleRules)
	change := func(pairs ...string) string {
		return writeTestFile(t, "rules.toml", strings.NewReplacer(pairs...).Replace(string(text)))
	}
	planned, _, _, _ := runAssign(exampleRules)
	for range 2 {
		// Applying the same file again changes nothing.
		output, diagnostics, code, errText := runApply(shell, exampleRules)
		if code != 0 || output != planned || diagnostics != "in force: revision=1 generation=4 moves=0\n" {
			t.Fatalf("exit code %d, error %q, diagnostics %q, output %q; want exit code 0, revision 1 and the output of assign: %q", code, errText, diagnostics, output, planned)
		}
	}
	if _, _, code, errText := runApply(shell, change("# Which nodes", "# Nodes that")); code != exitInvalid || !strings.Contains(errText, "generation is not above") {
		t.Fatalf("another file of the same generation: exit code %d, error %q; want exit code %d because of the generation", code, errText, exitInvalid)
	}
	// n3 has no slot any more: battery-fault-reader would have to move, and no other node can take it.
	output, _, code, _ := runApply(shell, change("generation = 4", "generation = 5", "adapter-slots = 1", "adapter-slots = 0"))
	if code != exitInvalid || !strings.HasPrefix(output, `{"collisions":[`) {
		t.Fatalf("rules that conflict: exit code %d, output %q; want exit code %d and the collisions", code, output, exitInvalid)
	}
	// An additional large node that sorts first by name does not move existing assignments.
	output, diagnostics, code, errText := runApply(shell, change("generation = 4", "generation = 5", `"battery-fault-reader"]`, `"battery-fault-reader"]`+"\n[[nodes]]\nname = \"n0\"\nzone = \"oslo-a\"\nlabels = [\"large\"]\nadapter-slots = 1\n"))
	if code != 0 || diagnostics != "in force: revision=2 generation=5 moves=0\n" || !strings.Contains(output, `"moves":0`) {
		t.Fatalf("with an additional node: exit code %d, error %q, diagnostics %q, output %q; want exit code 0, revision 2 and 0 moves", code, errText, diagnostics, output)
	}
	var shown bytes.Buffer
	responses, err := shell.Query("assignments")
	if err != nil {
		t.Fatal(err)
	}
	fleetshell.Table(&shown, responses)
	if !strings.Contains(shown.String(), "bookkeeping-classifier") || !strings.Contains(shown.String(), "next-window") {
		t.Fatalf("query assignments printed %q, want the adapters and the column next-window", shown.String())
	}
	network.SetPartitioned(shell.Seed, true)
	if _, _, code, errText = runApply(shell, exampleRules); code != exitUnusable || strings.Contains(errText, "\n") {
		t.Fatalf("unreachable controller: exit code %d, error %q; want exit code %d and an error of one line", code, errText, exitUnusable)
	}
}

func TestApplyRejectsInvalidArguments(t *testing.T) {
	for name, arguments := range map[string][]string{
		"no seed":      {"apply", exampleRules},
		"seed no port": {"apply", exampleRules, "--seed", "nowhere"},
		"no file":      {"apply", "--seed", "127.0.0.1:1"},
		"format":       {"apply", exampleRules, "--seed", "127.0.0.1:1", "--output", "yaml"},
	} {
		if output, _, code, errText := runAssign(arguments...); code != exitUnusable || output != "" || errText == "" || strings.Contains(errText, "\n") {
			t.Errorf("%s: exit code %d, output %q, error %q; want exit code %d, no output and an error of one line", name, code, output, errText, exitUnusable)
		}
	}
}
