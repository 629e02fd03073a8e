// Command lemonarch is the command line of operators and users: it checks files, asks the fleet for its
// state, imports routes, handles lots, and tries all of it in a lab on one machine.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// exit codes: what was asked holds, does not hold, or can't be asked so.
const (
	exitInvalid  = 1
	exitUnusable = 2
)

// exitError is a failure with its exit code.
type exitError struct {
	code int
	text string
}

// Error is the line that is printed.
func (c exitError) Error() string { return c.text }

// checkFormat tells whether a value of --output names a format.
func checkFormat(format string) error {
	if format != "table" && format != "json" {
		return exitError{exitUnusable, "--output must be table or json"}
	}
	return nil
}

// rootCommand gathers all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "lemonarch", Short: "Check files, ask a fleet for its state, import routes, handle jobs, place adapters, forecast surges, try it all in a lab",
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
