package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run runs the command line and gives what it prints and its exit code.
func runForecastLine(t *testing.T, arguments ...string) (out, complaints string, code int) {
	t.Helper()
	var printed, wrong bytes.Buffer
	root := rootCommand()
	root.SetOut(&printed)
	root.SetErr(&wrong)
	root.SetArgs(arguments)
	if err := root.Execute(); err != nil {
		code = exitUnusable
		var entry exitError
		if errors.As(err, &entry) {
			code = entry.code
		}
		wrong.WriteString(err.Error())
	}
	return printed.String(), wrong.String(), code
}

// A file that is not valid is refused with a line for each field before the fleet is asked;
// a fleet that can't be reached is told apart from it by the exit code.
func TestForecastExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sound := write("sound.toml", "[[surges]]\nname = \"s\"\nduration-s = 5\n[[surges.traffic]]\nroute = \"r\"\nrate = 3.0\n")
	wrong := write("wrong.toml", "[[surges]]\nname = \"s\"\n[[surges.traffic]]\nroute = \"r\"\nrate = -3.0\n")
	for _, found := range []struct {
		arguments []string
		code      int
		want      string
	}{
		{[]string{"forecast", wrong, "--seed", "127.0.0.1:1"}, exitUnusable, "surges[0].duration-s: missing"},
		{[]string{"forecast", filepath.Join(dir, "none.toml"), "--seed", "127.0.0.1:1"}, exitUnusable, "none.toml"},
		{[]string{"forecast", sound}, exitUnusable, "--seed is wanted"},
		{[]string{"forecast", sound, "--seed", "127.0.0.1:1"}, exitInvalid, "does not answer"},
		{[]string{"forecast", sound, "--seed", "127.0.0.1:1", "--output", "xml"}, exitUnusable, "--output"},
		{[]string{"forecast", "review", filepath.Join(dir, "none.json"), "--seed", "127.0.0.1:1"}, exitUnusable, "none.json"},
		{[]string{"lab", "forecast", "--cases", "0"}, exitUnusable, "--cases"},
	} {
		_, complaints, code := runForecastLine(t, found.arguments...)
		if code != found.code || !strings.Contains(complaints, found.want) {
			t.Errorf("%v: %d %q, want %d %q", found.arguments, code, complaints, found.code, found.want)
		}
	}
	out, _, code := runForecastLine(t, "lab", "forecast", "--cases", "2")
	if code != 0 || !strings.Contains(out, "right family") {
		t.Error(code, out)
	}
}
