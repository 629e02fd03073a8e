package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/hollowfleet"
)

func TestHollowBadFlagsAreOneLine(t *testing.T) {
	for _, arguments := range [][]string{{"--nodes", "1"}, {"--nodes", "25,many"}, {"--zones", "0"}, {"--duration", "-1s"}, {"--part", "5m"},
		{"--workers-each", "-1"}, {"--failures", "-2"}, {"--out", "no/such/folder/file.json"}, {"surplus"}} {
		command := hollowCommand()
		command.SilenceUsage, command.SilenceErrors = true, true
		command.SetArgs(arguments)
		err := command.Execute()
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", arguments, err)
			continue
		}
		// What cobra refuses ends with the same code, which main gives by default.
		if entry := (exitError{}); errors.As(err, &entry) && entry.code != exitUnusable {
			t.Errorf("%v: exit %d", arguments, entry.code)
		}
	}
}

func TestHollowWritesResultAndPlots(t *testing.T) {
	folder := t.TempDir()
	out := filepath.Join(folder, "series.json")
	command := hollowCommand()
	command.SetErr(&bytes.Buffer{})
	command.SetArgs([]string{"--nodes", "6,9,12", "--zones", "2", "--store-each", "3", "--workers-each", "1.5", "--duration", "3s", "--warm", "3s",
		"--config-bytes", "1000", "--out", out, "--plots", filepath.Join(folder, "plots")})
	if err := command.Execute(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	series := &hollowfleet.Series{}
	if err = json.Unmarshal(text, series); err != nil || len(series.Runs) != 3 || len(series.Slopes["gateway bytes"].Points) != 3 {
		t.Fatalf("%v %d runs, %+v", err, len(series.Runs), series.Slopes["gateway bytes"])
	}
	plots, _ := filepath.Glob(filepath.Join(folder, "plots", "hollow-*.svg"))
	if len(plots) != 3 {
		t.Fatal(plots)
	}
}

func TestHollowPartsRefuseInOneLine(t *testing.T) {
	for _, entry := range []struct {
		command   *cobra.Command
		arguments []string
	}{
		{hollowJobsCommand(), []string{"--items", "0"}},
		{hollowJobsCommand(), []string{"--item-bytes", "-4"}},
		{hollowRealCommand(), []string{"--programs", t.TempDir()}},
		{hollowRealCommand(), []string{"--gateways", "900"}},
		{hollowRealCommand(), []string{"--controllers", "21"}},
		{hollowTableCommand(), []string{"no-such-file.json"}},
		{hollowTableCommand(), []string{"hollow_test.go"}},
	} {
		entry.command.SilenceUsage, entry.command.SilenceErrors = true, true
		entry.command.SetArgs(entry.arguments)
		err := entry.command.Execute()
		if is := (exitError{}); !errors.As(err, &is) || is.code != exitUnusable || strings.Contains(is.text, "\n") {
			t.Errorf("%s %v: %v", entry.command.Use, entry.arguments, err)
		}
	}
}
