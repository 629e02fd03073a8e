package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// play is one case: it tells whether the rule was broken.
type play func(called context.Context, f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"framing": playFraming,
	"headers": playHeaders,
	"stop":    playStop,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAMS RECORD")
		return exitCannot
	}
	called, halt := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer halt()
	called, release := context.WithTimeout(called, 115*time.Second)
	defer release()
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	folder, err := os.MkdirTemp("", "lemonarch-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer os.RemoveAll(folder)
	network, err := freeNetwork()
	if err != nil {
		rec.note("%v", err)
		return exitCannot
	}
	f := &fleet{network: network, folder: folder, programs: os.Args[2], record: rec}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](called, f, trouble)
	switch {
	case err != nil && !errors.Is(err, errCannotRun):
		rec.note("error: %v", err)
		return exitCannot
	case err != nil:
		rec.note("%v", err)
		return exitCannot
	case broken:
		rec.note("the rule is broken")
		return exitBroken
	}
	rec.note("the rule holds")
	return exitHeld
}
