package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const exampleRules = "../../docs/assign/rules.toml"

// runAssign runs assign and returns its output, its diagnostics, its exit code and its error text.
func runAssign(arguments ...string) (output, diagnostics string, code int, errText string) {
	command := assignCommand()
	command.SilenceUsage, command.SilenceErrors = true, true
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	command.SetOut(out)
	command.SetErr(errOut)
	command.SetArgs(arguments)
	if err := command.Execute(); err != nil {
		code, errText = exitUnusable, err.Error()
		if exit := (exitError{}); errors.As(err, &exit) {
			code = exit.code
		}
	}
	return out.String(), errOut.String(), code, errText
}

func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAssignPrintsSolutions(t *testing.T) {
	output, diagnostics, code, _ := runAssign(exampleRules)
	if code != 0 || diagnostics != "" || !strings.HasPrefix(output, `{"generation":4,"windows":[{"window":"morning"`) {
		t.Fatalf("exit code %d, output %q, diagnostics %q; want exit code 0, a plan and no diagnostics", code, output, diagnostics)
	}
	earlier := writeTestFile(t, "earlier.json", output)
	for range 3 {
		if again, _, _, _ := runAssign(exampleRules, "--output", "json"); again != output {
			t.Fatalf("the same file gave a different plan: got %q, want %q", again, output)
		}
	}
	if retained, _, _, _ := runAssign(exampleRules, "--keep", earlier); !strings.Contains(retained, `"moves":0`) {
		t.Fatalf("with --keep of the same plan: got %q, want 0 moves", retained)
	}
	if table, _, _, _ := runAssign(exampleRules, "--keep", earlier, "--output", "table"); !strings.Contains(table, "moves in all: 0") {
		t.Fatalf("table with --keep of the same plan: got %q, want moves in all: 0", table)
	}
	if nightly, _, _, _ := runAssign(exampleRules, "--window", "nightly"); strings.Contains(nightly, "morning") || !strings.Contains(nightly, "nightly") {
		t.Fatalf("with --window nightly: got %q, want this window only", nightly)
	}
}

func TestAssignReportsCollisions(t *testing.T) {
	text, _ := os.ReadFile(exampleRules)
	path := writeTestFile(t, "rules.toml", strings.Replace(string(text), `name = "n3"`+"\n"+`zone = "oslo-b"`, `name = "n3"`+"\n"+`zone = "oslo-b"`+"\nlabels = [\"large\"]", 1)+
		"\n[[rules]]\nname = \"no-second-slot\"\nkind = \"never\"\nadapters = [\"battery-fault-reader\"]\nnodes = [\"n1\", \"n2\", \"n3\"]\n")
	output, diagnostics, code, errText := runAssign(path)
	want := `{"collisions":[{"window":"morning","rules":["no-second-slot"],"adapters":["battery-fault-reader"],"nodes":["n1","n2","n3"],"reason":"`
	if code != exitInvalid || diagnostics != "" || !strings.HasPrefix(output, want) || strings.Contains(errText, "\n") {
		t.Fatalf("exit code %d, output %q, diagnostics %q, error %q; want exit code %d, output that begins with %q, no diagnostics and an error of one line", code, output, diagnostics, errText, exitInvalid, want)
	}
	if table, _, code, _ := runAssign(path, "--output", "table"); code != exitInvalid || !strings.Contains(table, "rules:    no-second-slot") {
		t.Fatalf("table: exit code %d, output %q; want exit code %d and rule no-second-slot", code, table, exitInvalid)
	}
	// A window that can be planned is planned by itself even if the rules of another window conflict.
	if _, _, code, _ = runAssign(path, "--window", "nightly"); code != 0 {
		t.Fatalf("window nightly: exit code %d, want 0", code)
	}
}

func TestAssignRejectsInvalidInput(t *testing.T) {
	invalid := writeTestFile(t, "invalid.toml", "generation = 1\n[[nodes]]\nname = 'n'\nzone = 'z'\nadapter-slot = 1\n")
	output, diagnostics, code, _ := runAssign(invalid)
	if code != exitInvalid || output != "" || !strings.Contains(diagnostics, "nodes[0].adapter-slot:") || !strings.Contains(diagnostics, "nodes[0].adapter-slots:") {
		t.Fatalf("invalid file: exit code %d, output %q, diagnostics %q; want exit code %d, no output and a finding for each field", code, output, diagnostics, exitInvalid)
	}
	for name, arguments := range map[string][]string{
		"no file":          {},
		"two files":        {exampleRules, exampleRules},
		"missing file":     {"/nowhere/rules.toml"},
		"unknown format":   {exampleRules, "--output", "yaml"},
		"unknown window":   {exampleRules, "--window", "noon"},
		"unknown flag":     {exampleRules, "--fast"},
		"keep missing":     {exampleRules, "--keep", "/nowhere/solution.json"},
		"keep no solution": {exampleRules, "--keep", invalid},
	} {
		if output, _, code, errText := runAssign(arguments...); code != exitUnusable || output != "" || errText == "" || strings.Contains(errText, "\n") {
			t.Errorf("%s: exit code %d, output %q, error %q; want exit code %d, no output and an error of one line", name, code, output, errText, exitUnusable)
		}
	}
}
