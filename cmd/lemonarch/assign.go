package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// assignOptions are the flags of assign.
type assignOptions struct {
	window, keep, format string
}

func assignCommand() *cobra.Command {
	options := assignOptions{}
	command := &cobra.Command{Use: "assign FILE", Args: cobra.ExactArgs(1),
		Short: "Turn placement rules for adapters into assignments to nodes, or list the rules that conflict"}
	command.AddCommand(applyCommand())
	command.Flags().StringVar(&options.window, "window", "", "plan this window only")
	command.Flags().StringVar(&options.keep, "keep", "", "file with an earlier plan (JSON); its assignments are kept where the rules allow")
	command.Flags().StringVar(&options.format, "output", "json", "table or json")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		var window *string
		if command.Flags().Changed("window") {
			window = &options.window
		}
		return assign(command.OutOrStdout(), command.ErrOrStderr(), arguments[0], window, options)
	}
	return command
}

// readRules reads and checks a rules file. It writes findings and notes to diagnostics, one per line.
func readRules(path string, diagnostics io.Writer) (*adapterplan.Rules, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, exitError{exitUnusable, err.Error()}
	}
	rules, findings := adapterplan.Read(text)
	for _, finding := range findings {
		fmt.Fprintln(diagnostics, path+": "+finding)
	}
	if len(findings) > 0 {
		return nil, nil, exitError{exitInvalid, fmt.Sprintf("%s is not valid, findings=%d", path, len(findings))}
	}
	for _, note := range rules.Notes() {
		fmt.Fprintln(diagnostics, path+": note: "+note)
	}
	return rules, text, nil
}

func assign(writer, diagnostics io.Writer, path string, window *string, options assignOptions) error {
	if err := checkFormat(options.format); err != nil {
		return err
	}
	var earlier *adapterplan.Solution
	if options.keep != "" {
		text, err := os.ReadFile(options.keep)
		if err == nil {
			earlier, err = adapterplan.ReadSolution(text)
		}
		if err != nil {
			return exitError{exitUnusable, "--keep " + options.keep + ": " + strings.ReplaceAll(err.Error(), "\n", " ")}
		}
	}
	rules, _, err := readRules(path, diagnostics)
	if err != nil {
		return err
	}
	solution, refusal, err := planWithTimeout(rules, window, earlier)
	if err != nil {
		return err
	}
	return printPlan(writer, solution, refusal, options.format)
}

// planWithTimeout stops waiting for a plan after constants.PlanTimeout. Planning is a computationally hard
// problem that may take arbitrarily long, and an operator who prepares a window must learn in
// time that there is no result.
func planWithTimeout(rules *adapterplan.Rules, window *string, earlier *adapterplan.Solution) (*adapterplan.Solution, *adapterplan.Refusal, error) {
	type result struct {
		solution *adapterplan.Solution
		refusal  *adapterplan.Refusal
		err      error
	}
	done := make(chan result, 1)
	go func() {
		planned := result{}
		planned.solution, planned.refusal, _, planned.err = adapterplan.Plan(rules, window, earlier)
		done <- planned
	}()
	timer := clock.NewTimer(constants.PlanTimeout)
	defer timer.Stop()
	select {
	case planned := <-done:
		if errs.Is(planned.err, adapterplan.ErrInvalidCall) {
			return nil, nil, exitError{exitUnusable, "--window: " + planned.err.Error()}
		}
		if planned.err != nil {
			return nil, nil, exitError{exitUnusable, planned.err.Error()}
		}
		return planned.solution, planned.refusal, nil
	case <-timer.C:
		return nil, nil, exitError{exitUnusable, "planning timed out after " + constants.PlanTimeout.String()}
	}
}

// printPlan writes the solution, or writes the refusal and returns the error with its exit code.
func printPlan(writer io.Writer, solution *adapterplan.Solution, refusal *adapterplan.Refusal, format string) error {
	if refusal != nil {
		if format == "table" {
			refusal.Table(writer)
		} else if err := adapterplan.JSON(writer, refusal); err != nil {
			return err
		}
		return exitError{exitInvalid, fmt.Sprintf("the rules conflict, collisions=%d", len(refusal.Collisions))}
	}
	if format == "table" {
		solution.Table(writer)
		return nil
	}
	return adapterplan.JSON(writer, solution)
}
