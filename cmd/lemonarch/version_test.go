package main

import (
	"bytes"
	"runtime/debug"
	"strings"
	"testing"
)

func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}}
	if got := version(info, true); got != "(devel) 0123456789ab changed go1.26" {
		t.Fatalf("version of a modified build is %q, want (devel) 0123456789ab changed go1.26", got)
	}
	if got := version(&debug.BuildInfo{GoVersion: "go1.26"}, true); got != "(devel) go1.26" {
		t.Fatalf("version of a build without a revision is %q, want (devel) go1.26", got)
	}
	if version(nil, false) == "" {
		t.Fatal("version of an unknown build is empty")
	}
}

// TestVersionFlag checks that the flag prints one line with the program's name and needs no other
// argument.
func TestVersionFlag(t *testing.T) {
	root, output := rootCommand(), &bytes.Buffer{}
	root.SetOut(output)
	root.SetArgs([]string{"--version"})
	if err := root.Execute(); err != nil {
		t.Fatal(err)
	}
	if text := output.String(); !strings.HasPrefix(text, "lemonarch ") || strings.Count(text, "\n") != 1 || !strings.Contains(text, "go1.") {
		t.Fatalf("--version printed %q, want one line with the program's name and the Go version", text)
	}
}
