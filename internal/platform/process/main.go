package process

import (
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

// Process is what a program runs.
type Process interface {
	// Run serves until Shutdown was called or it can't go on.
	Run() error
	// Shutdown stops in order.
	Shutdown()
}

// Exit codes of the daemons.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main is the thin part that all daemons share: settings, signals, exit codes.
func Main(name string, make func(nodeSettings *settings.Settings, log hclog.Logger) (Process, error)) {
	// First of all: until it is caught, a SIGHUP ends the process.
	received := catchSignals()
	nodeSettings, err := settings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		os.Exit(exitSettings)
	}
	Prepare(nodeSettings)
	log := NewLog(name)
	started := newStarted()
	go checkOnReload(received.reload, settings.Load, log)
	go func() {
		shutDownOnSignal(received.terminate, started, log)
		os.Exit(exitOK)
	}()
	process, err := make(nodeSettings, log)
	if err != nil {
		log.Error("process not started", "err", err.Error())
		os.Exit(exitFailed)
	}
	started <- process
	if err = process.Run(); err != nil {
		log.Error("process failed", "err", err.Error())
		os.Exit(exitFailed)
	}
	// Run returns as soon as the listener closes; Shutdown still ends what is under way.
	select {}
}
