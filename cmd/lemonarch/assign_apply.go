package main

import (
	"bytes"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"lemonarch/internal/almanac"
	"lemonarch/internal/fixture"
	"lemonarch/internal/loupe"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
)

func applyCommand() *cobra.Command {
	seed, format := "", "json"
	command := &cobra.Command{Use: "apply FILE", Args: cobra.ExactArgs(1),
		Short: "Plan the rules on top of what is in force, and put rules and answer in force in the fleet",
		RunE: func(command *cobra.Command, arguments []string) error {
			if format != "table" && format != "json" {
				return coded{exitUnusable, "--output must be table or json"}
			}
			wire := tongs.NewWire("")
			defer wire.Close()
			glass, failure := loupe.New(wire, seed, almanac.StatusTime)
			if failure != nil {
				return coded{exitUnusable, failure.Error()}
			}
			return apply(command.OutOrStdout(), command.ErrOrStderr(), glass, arguments[0], format)
		}}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	return command
}

// desk speaks with one foreman.
type desk struct {
	glass   *loupe.Loupe
	address string
}

// sit finds a foreman that reads what is in force at a majority.
func sit(glass *loupe.Loupe) (*desk, *pattern.PlanTold, error) {
	addresses, failure := glass.Foremen()
	if failure != nil {
		return nil, nil, coded{exitUnusable, failure.Error()}
	}
	for _, address := range addresses {
		one := &desk{glass, address}
		if told, problem := one.read(); problem == nil {
			return one, told, nil
		}
	}
	return nil, nil, coded{exitInvalid, "no foreman reads the register of assignments, nothing was changed"}
}

func (one *desk) read() (*pattern.PlanTold, error) {
	told := &pattern.PlanTold{}
	return told, tongs.Ask(one.glass.Transport, one.address, pattern.KindPlanPull, &pattern.PlanPull{Whole: true, Settled: true}, told, almanac.BulkCallTime)
}

// apply plans at this desk, so that the foremen need no solver for it, and puts rules
// and answer in force on top of what was read.
func apply(writer, complaints io.Writer, glass *loupe.Loupe, path, format string) error {
	rules, text, failure := readRules(path, complaints)
	if failure != nil {
		return failure
	}
	one, now, failure := sit(glass)
	if failure != nil {
		return failure
	}
	var earlier *fixture.Answer
	if now.Revision > 0 {
		if earlier, failure = fixture.ReadAnswer(now.Value.Answer); failure != nil {
			return coded{exitInvalid, "the answer in force can't be read: " + oneLine(failure)}
		}
	}
	answer, refusal, failure := planned(rules, nil, earlier)
	if failure != nil {
		return failure
	}
	if refusal != nil {
		return tellPlan(writer, nil, refusal, format)
	}
	body := &bytes.Buffer{}
	if failure = fixture.JSON(body, answer); failure != nil {
		return failure
	}
	question := &pattern.PlanApply{Base: now.Revision, Rules: text, Answer: body.Bytes()}
	back := &pattern.PlanApplied{}
	failure = tongs.Ask(glass.Transport, one.address, pattern.KindPlanApply, question, back, almanac.BulkCallTime)
	if failure != nil || back.Unclear {
		return coded{exitInvalid, "it is not known whether the rules are in force; apply the same file again to find out"}
	}
	if !back.Taken {
		return coded{exitInvalid, "not in force: " + back.Why}
	}
	// Read back: what is told is what a majority holds.
	told, failure := one.read()
	if failure != nil {
		return coded{exitInvalid, fmt.Sprintf("acknowledged as revision %d, and could not be read back: %s", back.Revision, oneLine(failure))}
	}
	if !bytes.Equal(told.Value.Rules, text) {
		return coded{exitInvalid, fmt.Sprintf("acknowledged as revision %d, and overtaken by revision %d", back.Revision, told.Revision)}
	}
	if answer, failure = fixture.ReadAnswer(told.Value.Answer); failure != nil {
		return coded{exitInvalid, oneLine(failure)}
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
