package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"lemonarch/internal/maquette"
)

func TestHollowBadFlagsAreOneLine(test *testing.T) {
	for _, arguments := range [][]string{{"--nodes", "1"}, {"--nodes", "25,many"}, {"--zones", "0"}, {"--duration", "-1s"}, {"--part", "5m"},
		{"--workers-each", "-1"}, {"--failures", "-2"}, {"--out", "no/such/folder/file.json"}, {"surplus"}} {
		command := hollowCommand()
		command.SilenceUsage, command.SilenceErrors = true, true
		command.SetArgs(arguments)
		failure := command.Execute()
		if failure == nil || strings.Contains(failure.Error(), "\n") {
			test.Errorf("%v: %v", arguments, failure)
			continue
		}
		// What cobra refuses ends with the same code, which main gives by default.
		if one, is := failure.(coded); is && one.code != exitUnusable {
			test.Errorf("%v: exit %d", arguments, one.code)
		}
	}
}

func TestHollowWritesResultAndPlots(test *testing.T) {
	folder := test.TempDir()
	out := filepath.Join(folder, "series.json")
	command := hollowCommand()
	command.SetErr(&bytes.Buffer{})
	command.SetArgs([]string{"--nodes", "6,9,12", "--zones", "2", "--locker-each", "3", "--workers-each", "1.5", "--duration", "3s", "--warm", "3s",
		"--config-bytes", "1000", "--out", out, "--plots", filepath.Join(folder, "plots")})
	if failure := command.Execute(); failure != nil {
		test.Fatal(failure)
	}
	text, failure := os.ReadFile(out)
	if failure != nil {
		test.Fatal(failure)
	}
	series := &maquette.Series{}
	if failure = json.Unmarshal(text, series); failure != nil || len(series.Runs) != 3 || len(series.Slopes["forge bytes"].Points) != 3 {
		test.Fatalf("%v %d runs, %+v", failure, len(series.Runs), series.Slopes["forge bytes"])
	}
	plots, _ := filepath.Glob(filepath.Join(folder, "plots", "hollow-*.svg"))
	if len(plots) != 3 {
		test.Fatal(plots)
	}
}

func TestHollowPartsRefuseInOneLine(test *testing.T) {
	for _, one := range []struct {
		command   *cobra.Command
		arguments []string
	}{
		{hollowLotsCommand(), []string{"--items", "0"}},
		{hollowLotsCommand(), []string{"--item-bytes", "-4"}},
		{hollowRealCommand(), []string{"--programs", test.TempDir()}},
		{hollowRealCommand(), []string{"--forges", "900"}},
		{hollowRealCommand(), []string{"--foremen", "21"}},
		{hollowTableCommand(), []string{"no-such-file.json"}},
		{hollowTableCommand(), []string{"hollow_test.go"}},
	} {
		one.command.SilenceUsage, one.command.SilenceErrors = true, true
		one.command.SetArgs(one.arguments)
		failure := one.command.Execute()
		if is, known := failure.(coded); !known || is.code != exitUnusable || strings.Contains(is.text, "\n") {
			test.Errorf("%s %v: %v", one.command.Use, one.arguments, failure)
		}
	}
}
