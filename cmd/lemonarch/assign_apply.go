package main

import (
	"bytes"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/fleetshell"
)

func applyCommand() *cobra.Command {
	seed, format := "", "json"
	command := &cobra.Command{Use: "apply FILE", Args: cobra.ExactArgs(1),
		Short: "Plan the rules starting from the plan in force, and apply rules and plan to the fleet",
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			tcp := transport.NewTCP("")
			defer tcp.Close()
			shell, err := fleetshell.New(tcp, seed, constants.StatusTimeout)
			if err != nil {
				return exitError{exitUnusable, err.Error()}
			}
			return apply(command.OutOrStdout(), command.ErrOrStderr(), shell, arguments[0], format)
		}}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	return command
}

// controllerClient sends requests to one controller.
type controllerClient struct {
	shell   *fleetshell.Shell
	address string
}

// findController returns the first controller that can read the plan in force from a majority of
// the acceptors, and that plan.
func findController(shell *fleetshell.Shell) (*controllerClient, *messages.PlanResponse, error) {
	addresses, err := shell.Controllers()
	if err != nil {
		return nil, nil, exitError{exitUnusable, err.Error()}
	}
	for _, address := range addresses {
		client := &controllerClient{shell, address}
		if plan, readErr := client.read(); readErr == nil {
			return client, plan, nil
		}
	}
	return nil, nil, exitError{exitInvalid, "no controller can read the register of assignments, nothing was changed"}
}

func (c *controllerClient) read() (*messages.PlanResponse, error) {
	plan := &messages.PlanResponse{}
	return plan, transport.Call(c.shell.Transport, c.address, messages.KindPlanPull, &messages.PlanRequest{Complete: true, Linearizable: true}, plan, constants.BulkCallTimeout)
}

// apply puts rules in force and reads them back, so the result is the plan that a majority stores.
func (c *controllerClient) apply(req *messages.PlanApplyRequest) (*messages.PlanResponse, error) {
	resp := &messages.PlanApplyResponse{}
	err := transport.Call(c.shell.Transport, c.address, messages.KindPlanApply, req, resp, constants.BulkCallTimeout)
	if err != nil || resp.Unclear {
		return nil, exitError{exitInvalid, "outcome unknown: the rules may or may not be in force; apply the same file again to find out"}
	}
	if !resp.Applied {
		return nil, exitError{exitInvalid, "not in force: " + resp.Reason}
	}
	plan, err := c.read()
	if err != nil {
		return nil, exitError{exitInvalid, fmt.Sprintf("acknowledged as revision %d, but reading it back failed: %s", resp.Revision, oneLine(err))}
	}
	if !bytes.Equal(plan.Value.Rules, req.Rules) {
		return nil, exitError{exitInvalid, fmt.Sprintf("acknowledged as revision %d, but already replaced by revision %d", resp.Revision, plan.Revision)}
	}
	return plan, nil
}

// apply plans on this machine, so that the controllers need no solver for it, and puts rules
// and plan in force with the revision that was read as their base.
func apply(writer, diagnostics io.Writer, shell *fleetshell.Shell, path, format string) error {
	rules, text, err := readRules(path, diagnostics)
	if err != nil {
		return err
	}
	client, current, err := findController(shell)
	if err != nil {
		return err
	}
	var earlier *adapterplan.Solution
	if current.Revision > 0 {
		if earlier, err = adapterplan.ReadSolution(current.Value.Solution); err != nil {
			return exitError{exitInvalid, "the plan in force can't be parsed: " + oneLine(err)}
		}
	}
	solution, refusal, err := planWithTimeout(rules, nil, earlier)
	if err != nil {
		return err
	}
	if refusal != nil {
		return printPlan(writer, nil, refusal, format)
	}
	body := &bytes.Buffer{}
	if err = adapterplan.JSON(body, solution); err != nil {
		return err
	}
	plan, err := client.apply(&messages.PlanApplyRequest{Base: current.Revision, Rules: text, Solution: body.Bytes()})
	if err != nil {
		return err
	}
	if solution, err = adapterplan.ReadSolution(plan.Value.Solution); err != nil {
		return exitError{exitInvalid, oneLine(err)}
	}
	moves := 0
	if solution.Moves != nil {
		moves = *solution.Moves
	}
	fmt.Fprintf(diagnostics, "in force: revision=%d generation=%d moves=%d\n", plan.Revision, plan.Generation, moves)
	for _, line := range plan.Collisions {
		fmt.Fprintln(diagnostics, "collision, the previous plan stays in force: "+line)
	}
	return printPlan(writer, solution, nil, format)
}
