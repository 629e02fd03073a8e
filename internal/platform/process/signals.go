package process

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

// signals holds what the platform tells a process, each kind in a channel of its own:
// repeats join into one, and many reloads can't push a termination out.
type signals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

// catchSignals begins to catch the signals that a process heeds.
func catchSignals() signals {
	received := signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(received.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(received.reload, syscall.SIGHUP)
	return received
}

// newStarted makes the channel on which Main hands over the process once it is made.
func newStarted() chan Process { return make(chan Process, 1) }

// leaveOnSignal waits for a termination and stops the process in order. One that is
// still being made has taken nothing on yet and is left as it is.
func shutDownOnSignal(terminate <-chan os.Signal, started <-chan Process, log hclog.Logger) {
	received := <-terminate
	log.Info("shutting down", "signal", received.String())
	select {
	case process := <-started:
		process.Shutdown()
	default:
	}
}

// checkOnReload checks the settings file at each reload and logs the result in one
// line. Settings are read at the start only: sockets, limits and sets are built from
// them, so a valid change holds from the next start and nothing under way is cut.
func checkOnReload(reload <-chan os.Signal, load func() (*settings.Settings, error), log hclog.Logger) {
	for range reload {
		if _, err := load(); err != nil {
			log.Warn("changed settings are not valid", "err", err.Error())
			continue
		}
		log.Info("changed settings hold from the next start")
	}
}
