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

// called runs assign and gives what it writes and its exit code.
func called(arguments ...string) (output, complaints string, code int, text string) {
	command := assignCommand()
	command.SilenceUsage, command.SilenceErrors = true, true
	out, problems := &bytes.Buffer{}, &bytes.Buffer{}
	command.SetOut(out)
	command.SetErr(problems)
	command.SetArgs(arguments)
	if err := command.Execute(); err != nil {
		code, text = exitUnusable, err.Error()
		if entry := (exitError{}); errors.As(err, &entry) {
			code = entry.code
		}
	}
	return out.String(), problems.String(), code, text
}

func written(t *testing.T, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAssignPrintsAnswers(t *testing.T) {
	output, complaints, code, _ := called(exampleRules)
	if code != 0 || complaints != "" || !strings.HasPrefix(output, `{"generation":4,"windows":[{"window":"morning"`) {
		t.Fatal(code, output, complaints)
	}
	earlier := written(t, "earlier.json", output)
	for range 3 {
		if again, _, _, _ := called(exampleRules, "--output", "json"); again != output {
			t.Fatal("another answer from the same file", again)
		}
	}
	if retained, _, _, _ := called(exampleRules, "--keep", earlier); !strings.Contains(retained, `"moves":0`) {
		t.Fatal(retained)
	}
	if table, _, _, _ := called(exampleRules, "--keep", earlier, "--output", "table"); !strings.Contains(table, "moves in all: 0") {
		t.Fatal(table)
	}
	if entry, _, _, _ := called(exampleRules, "--window", "nightly"); strings.Contains(entry, "morning") || !strings.Contains(entry, "nightly") {
		t.Fatal(entry)
	}
}

func TestAssignRefuses(t *testing.T) {
	text, _ := os.ReadFile(exampleRules)
	path := written(t, "rules.toml", strings.Replace(string(text), `name = "n3"`+"\n"+`zone = "oslo-b"`, `name = "n3"`+"\n"+`zone = "oslo-b"`+"\nlabels = [\"large\"]", 1)+
		"\n[[rules]]\nname = \"no-second-slot\"\nkind = \"never\"\nadapters = [\"battery-fault-reader\"]\nnodes = [\"n1\", \"n2\", \"n3\"]\n")
	output, complaints, code, line := called(path)
	want := `{"collisions":[{"window":"morning","rules":["no-second-slot"],"adapters":["battery-fault-reader"],"nodes":["n1","n2","n3"],"reason":"`
	if code != exitInvalid || complaints != "" || !strings.HasPrefix(output, want) || strings.Contains(line, "\n") {
		t.Fatal(code, output, complaints, line)
	}
	if table, _, code, _ := called(path, "--output", "table"); code != exitInvalid || !strings.Contains(table, "rules:    no-second-slot") {
		t.Fatal(code, table)
	}
	// A window that can be met is not held back by one that can't, if asked for alone.
	if _, _, code, _ = called(path, "--window", "nightly"); code != 0 {
		t.Fatal(code)
	}
}

func TestAssignUnusable(t *testing.T) {
	invalid := written(t, "invalid.toml", "generation = 1\n[[nodes]]\nname = 'n'\nzone = 'z'\nadapter-slot = 1\n")
	output, complaints, code, _ := called(invalid)
	if code != exitInvalid || output != "" || !strings.Contains(complaints, "nodes[0].adapter-slot:") || !strings.Contains(complaints, "nodes[0].adapter-slots:") {
		t.Fatal(code, output, complaints)
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
		if output, _, code, text := called(arguments...); code != exitUnusable || output != "" || text == "" || strings.Contains(text, "\n") {
			t.Errorf("%s: code %d, %q, %q", name, code, output, text)
		}
	}
}
