package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommandLine runs the command line and returns its output, its diagnostics and its exit code.
func runCommandLine(t *testing.T, arguments ...string) (out, diagnostics string, code int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	root := rootCommand()
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(arguments)
	if err := root.Execute(); err != nil {
		code = exitUnusable
		var exit exitError
		if errors.As(err, &exit) {
			code = exit.code
		}
		stderr.WriteString(err.Error())
	}
	return stdout.String(), stderr.String(), code
}

// TestForecastExitCodes checks that an invalid file is rejected with a line that names the field before
// any request goes to the fleet, and that an unreachable fleet has an exit code of its own.
func TestForecastExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := write("sound.toml", "[[surges]]\nname = \"s\"\nduration-s = 5\n[[surges.traffic]]\nroute = \"r\"\nrate = 3.0\n")
	invalid := write("wrong.toml", "[[surges]]\nname = \"s\"\n[[surges.traffic]]\nroute = \"r\"\nrate = -3.0\n")
	for _, test := range []struct {
		arguments []string
		code      int
		want      string
	}{
		{[]string{"forecast", invalid, "--seed", "127.0.0.1:1"}, exitUnusable, "surges[0].duration-s: missing"},
		{[]string{"forecast", filepath.Join(dir, "none.toml"), "--seed", "127.0.0.1:1"}, exitUnusable, "none.toml"},
		{[]string{"forecast", valid}, exitUnusable, "--seed is missing"},
		{[]string{"forecast", valid, "--seed", "127.0.0.1:1"}, exitInvalid, "does not answer"},
		{[]string{"forecast", valid, "--seed", "127.0.0.1:1", "--output", "xml"}, exitUnusable, "--output"},
		{[]string{"forecast", "review", filepath.Join(dir, "none.json"), "--seed", "127.0.0.1:1"}, exitUnusable, "none.json"},
		{[]string{"lab", "forecast", "--cases", "0"}, exitUnusable, "--cases"},
	} {
		_, diagnostics, code := runCommandLine(t, test.arguments...)
		if code != test.code || !strings.Contains(diagnostics, test.want) {
			t.Errorf("%v: exit code %d, diagnostics %q; want exit code %d and %q", test.arguments, code, diagnostics, test.code, test.want)
		}
	}
	out, _, code := runCommandLine(t, "lab", "forecast", "--cases", "2")
	if code != 0 || !strings.Contains(out, "right family") {
		t.Errorf("lab forecast: exit code %d, output %q; want exit code 0 and a line with right family", code, out)
	}
}
