//go:build review

package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// notRun is the error of a case that could not run.
type notRun struct{ error }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play := map[string]func(r *record, trouble bool) (broken string, err error){
		"drain":   playDrain,
		"memory":  playMemory,
		"length":  playLength,
		"smuggle": playSmuggle,
	}[os.Args[1]]
	r, err := newRecord(os.Args[2])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record", err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := play(r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		os.Exit(exitNotRun)
	case broken != "":
		r.add("RULE BROKEN: %s", broken)
		os.Exit(exitBroken)
	}
	r.add("the rule held")
	os.Exit(exitHeld)
}
