package process

import (
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

// Process is the implementation of one daemon.
type Process interface {
	// Run serves until Shutdown is called, or returns the error that prevents it from serving.
	Run() error
	// Shutdown stops the process gracefully.
	Shutdown()
}

// The exit codes of the daemons.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main is the main function of all daemons: it reads the settings, handles signals and sets the exit
// code. make creates the daemon's process.
func Main(name string, make func(nodeSettings *settings.Settings, log hclog.Logger) (Process, error)) {
	// Signals are caught before anything else, because a SIGHUP that is not caught ends the process.
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
		log.Error("failed to start process", "err", err.Error())
		os.Exit(exitFailed)
	}
	started <- process
	if err = process.Run(); err != nil {
		log.Error("process failed", "err", err.Error())
		os.Exit(exitFailed)
	}
	// Run returns as soon as the listener closes, while Shutdown still finishes requests in flight;
	// the signal handler exits after it.
	select {}
}
