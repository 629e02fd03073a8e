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
		if one := (coded{}); errors.As(err, &one) && one.code != exitUnusable {
			t.Errorf("%v: exit %d", arguments, one.code)
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
	for _, one := range []struct {
		command   *cobra.Command
		arguments []string
	}{
		{hollowLotsCommand(), []string{"--items", "0"}},
		{hollowLotsCommand(), []string{"--item-bytes", "-4"}},
		{hollowRealCommand(), []string{"--programs", t.TempDir()}},
		{hollowRealCommand(), []string{"--gateways", "900"}},
		{hollowRealCommand(), []string{"--controllers", "21"}},
		{hollowTableCommand(), []string{"no-such-file.json"}},
		{hollowTableCommand(), []string{"hollow_test.go"}},
	} {
		one.command.SilenceUsage, one.command.SilenceErrors = true, true
		one.command.SetArgs(one.arguments)
		err := one.command.Execute()
		if is := (coded{}); !errors.As(err, &is) || is.code != exitUnusable || strings.Contains(is.text, "\n") {
			t.Errorf("%s %v: %v", one.command.Use, one.arguments, err)
		}
	}
}
