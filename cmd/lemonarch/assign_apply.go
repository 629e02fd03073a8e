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
		Short: "Plan the rules on top of what is in force, and put rules and answer in force in the fleet",
		RunE: func(command *cobra.Command, arguments []string) error {
			if format != "table" && format != "json" {
				return coded{exitUnusable, "--output must be table or json"}
			}
			wire := transport.NewTCP("")
			defer wire.Close()
			shell, err := fleetshell.New(wire, seed, constants.StatusTimeout)
			if err != nil {
				return coded{exitUnusable, err.Error()}
			}
			return apply(command.OutOrStdout(), command.ErrOrStderr(), shell, arguments[0], format)
		}}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	return command
}

// endpoint speaks with one controller.
type endpoint struct {
	shell   *fleetshell.Shell
	address string
}

// sit finds a controller that reads what is in force at a majority.
func sit(shell *fleetshell.Shell) (*endpoint, *messages.PlanResponse, error) {
	addresses, err := shell.Controllers()
	if err != nil {
		return nil, nil, coded{exitUnusable, err.Error()}
	}
	for _, address := range addresses {
		one := &endpoint{shell, address}
		if told, problem := one.read(); problem == nil {
			return one, told, nil
		}
	}
	return nil, nil, coded{exitInvalid, "no controller reads the register of assignments, nothing was changed"}
}

func (e *endpoint) read() (*messages.PlanResponse, error) {
	told := &messages.PlanResponse{}
	return told, transport.Call(e.shell.Transport, e.address, messages.KindPlanPull, &messages.PlanRequest{Complete: true, Linearizable: true}, told, constants.BulkCallTimeout)
}

// apply plans on this machine, so that the controllers need no solver for it, and puts rules
// and answer in force on top of what was read.
func apply(writer, complaints io.Writer, shell *fleetshell.Shell, path, format string) error {
	rules, text, err := readRules(path, complaints)
	if err != nil {
		return err
	}
	one, now, err := sit(shell)
	if err != nil {
		return err
	}
	var earlier *adapterplan.Answer
	if now.Revision > 0 {
		if earlier, err = adapterplan.ReadAnswer(now.Value.Solution); err != nil {
			return coded{exitInvalid, "the answer in force can't be read: " + oneLine(err)}
		}
	}
	answer, refusal, err := planned(rules, nil, earlier)
	if err != nil {
		return err
	}
	if refusal != nil {
		return tellPlan(writer, nil, refusal, format)
	}
	body := &bytes.Buffer{}
	if err = adapterplan.JSON(body, answer); err != nil {
		return err
	}
	question := &messages.PlanApplyRequest{Base: now.Revision, Rules: text, Solution: body.Bytes()}
	back := &messages.PlanApplyResponse{}
	err = transport.Call(shell.Transport, one.address, messages.KindPlanApply, question, back, constants.BulkCallTimeout)
	if err != nil || back.Unclear {
		return coded{exitInvalid, "it is not known whether the rules are in force; apply the same file again to find out"}
	}
	if !back.Applied {
		return coded{exitInvalid, "not in force: " + back.Reason}
	}
	// Read back: what is told is what a majority holds.
	told, err := one.read()
	if err != nil {
		return coded{exitInvalid, fmt.Sprintf("acknowledged as revision %d, and could not be read back: %s", back.Revision, oneLine(err))}
	}
	if !bytes.Equal(told.Value.Rules, text) {
		return coded{exitInvalid, fmt.Sprintf("acknowledged as revision %d, and overtaken by revision %d", back.Revision, told.Revision)}
	}
	if answer, err = adapterplan.ReadAnswer(told.Value.Solution); err != nil {
		return coded{exitInvalid, oneLine(err)}
	}
	moves := 0
	if answer.Moves != nil {
		moves = *answer.Moves
	}
	fmt.Fprintf(complaints, "in force: revision=%d generation=%d moves=%d\n", told.Revision, told.Generation, moves)
	for _, line := range told.Collisions {
		fmt.Fprintln(complaints, "collision, the last answer stays in force: "+line)
	}
	return tellPlan(writer, answer, nil, format)
}
