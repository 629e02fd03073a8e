package node

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

// Process is what a program runs.
type Process interface {
	// Run serves until Leave was called or it can't go on.
	Run() error
	// Leave stops in order.
	Leave()
}

// Main is the thin part that all daemons share: settings, signals, exit codes.
func Main(name string, make func(nodeSettings *settings.Settings, log hclog.Logger) (Process, error)) {
	nodeSettings, err := settings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		os.Exit(2)
	}
	Prepare(nodeSettings)
	log := NewLog(name)
	process, err := make(nodeSettings, log)
	if err != nil {
		log.Error("can't start", "why", err.Error())
		os.Exit(1)
	}
	signals := remind()
	go func() {
		for one := range signals {
			if one == syscall.SIGHUP {
				// What a running process takes from its settings is read at its start
				// only; a changed file is checked and told, and holds from the next one.
				if _, err := settings.Load(); err != nil {
					log.Warn("changed settings are not valid", "why", err.Error())
				} else {
					log.Info("changed settings hold from the next start")
				}
				continue
			}
			log.Info("leaving", "signal", one.String())
			process.Leave()
			os.Exit(0)
		}
	}()
	if err = process.Run(); err != nil {
		log.Error("ended", "why", err.Error())
		os.Exit(1)
	}
	// Run returns as soon as the listener closes; Leave still ends what is under way.
	select {}
}

func remind() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
