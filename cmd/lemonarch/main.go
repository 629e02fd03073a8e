// Command lemonarch is the command line for operators and users: it checks files, queries the state of
// a fleet, imports routes, handles batch jobs, places adapters, forecasts surges, and runs a lab on one
// machine.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit codes of failures; success is 0. exitInvalid means that the check or operation failed.
// exitUnusable means that there is no result, mostly because the call itself is wrong (flags, arguments,
// files), or that the error has no code of its own.
const (
	exitInvalid  = 1
	exitUnusable = 2
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	text string
}

// Error returns the line that is printed.
func (e exitError) Error() string { return e.text }

// checkFormat returns an error unless the value of --output is a known format.
func checkFormat(format string) error {
	if format != "table" && format != "json" {
		return exitError{exitUnusable, "--output must be table or json"}
	}
	return nil
}

// rootCommand returns the command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "lemonarch", Short: "Check files, query the state of a fleet, import routes, handle batch jobs, place adapters, forecast surges, run a lab",
		SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(checkCommand(), shellCommand(), importCommand(), labCommand(), jobsCommand(), assignCommand(), forecastCommand())
	info, available := debug.ReadBuildInfo()
	root.Version = version(info, available)
	root.SetVersionTemplate("{{.Name}} {{.Version}}\n")
	return root
}

func main() {
	root := rootCommand()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lemonarch: "+err.Error())
		code := exitUnusable
		var exit exitError
		if errors.As(err, &exit) {
			code = exit.code
		}
		os.Exit(code)
	}
}
