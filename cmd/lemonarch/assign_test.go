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
func runAssign(arguments ...string) (output, diagnostics string, code int, text string) {
	command := assignCommand()
	command.SilenceUsage, command.SilenceErrors = true, true
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	command.SetOut(out)
	command.SetErr(errOut)
	command.SetArgs(arguments)
	if err := command.Execute(); err != nil {
		code, text = exitUnusable, err.Error()
		if exit := (exitError{}); errors.As(err, &exit) {
			code = exit.code
		}
	}
	return out.String(), errOut.String(), code, text
}

func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAssignPrintsAnswers(t *testing.T) {
	output, diagnostics, code, _ := runAssign(exampleRules)
	if code != 0 || diagnostics != "" || !strings.HasPrefix(output, `{"generation":4,"windows":[{"window":"morning"`) {
		t.Fatal(code, output, diagnostics)
	}
	earlier := writeTestFile(t, "earlier.json", output)
	for range 3 {
		if again, _, _, _ := runAssign(exampleRules, "--output", "json"); again != output {
			t.Fatal("the same file gave a different plan", again)
		}
	}
	if retained, _, _, _ := runAssign(exampleRules, "--keep", earlier); !strings.Contains(retained, `"moves":0`) {
		t.Fatal(retained)
	}
	if table, _, _, _ := runAssign(exampleRules, "--keep", earlier, "--output", "table"); !strings.Contains(table, "moves in all: 0") {
		t.Fatal(table)
	}
	if nightly, _, _, _ := runAssign(exampleRules, "--window", "nightly"); strings.Contains(nightly, "morning") || !strings.Contains(nightly, "nightly") {
		t.Fatal(nightly)
	}
}

func TestAssignCollision(t *testing.T) {
	text, _ := os.ReadFile(exampleRules)
	path := writeTestFile(t, "rules.toml", strings.Replace(string(text), `name = "n3"`+"\n"+`zone = "oslo-b"`, `name = "n3"`+"\n"+`zone = "oslo-b"`+"\nlabels = [\"large\"]", 1)+
		"\n[[rules]]\nname = \"no-second-slot\"\nkind = \"never\"\nadapters = [\"battery-fault-reader\"]\nnodes = [\"n1\", \"n2\", \"n3\"]\n")
	output, diagnostics, code, line := runAssign(path)
	want := `{"collisions":[{"window":"morning","rules":["no-second-slot"],"adapters":["battery-fault-reader"],"nodes":["n1","n2","n3"],"reason":"`
	if code != exitInvalid || diagnostics != "" || !strings.HasPrefix(output, want) || strings.Contains(line, "\n") {
		t.Fatal(code, output, diagnostics, line)
	}
	if table, _, code, _ := runAssign(path, "--output", "table"); code != exitInvalid || !strings.Contains(table, "rules:    no-second-slot") {
		t.Fatal(code, table)
	}
	// A window that can be planned is planned by itself even if the rules of another window conflict.
	if _, _, code, _ = runAssign(path, "--window", "nightly"); code != 0 {
		t.Fatal(code)
	}
}

func TestAssignUnusable(t *testing.T) {
	invalid := writeTestFile(t, "invalid.toml", "generation = 1\n[[nodes]]\nname = 'n'\nzone = 'z'\nadapter-slot = 1\n")
	output, diagnostics, code, _ := runAssign(invalid)
	if code != exitInvalid || output != "" || !strings.Contains(diagnostics, "nodes[0].adapter-slot:") || !strings.Contains(diagnostics, "nodes[0].adapter-slots:") {
		t.Fatal(code, output, diagnostics)
	}
	for name, arguments := range map[string][]string{
		"no file":        {},
		"two files":      {exampleRules, exampleRules},
		"missing file":   {"/nowhere/rules.toml"},
		"unknown format": {exampleRules, "--output", "yaml"},
		"unknown window": {exampleRules, "--window", "noon"},
		"unknown flag":   {exampleRules, "--fast"},
		"keep missing":   {exampleRules, "--keep", "/nowhere/answer.json"},
		"keep no answer": {exampleRules, "--keep", invalid},
	} {
		if output, _, code, text := runAssign(arguments...); code != exitUnusable || output != "" || text == "" || strings.Contains(text, "\n") {
			t.Errorf("%s: code %d, %q, %q", name, code, output, text)
		}
	}
}
