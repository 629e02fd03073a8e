package process

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

// signals contains the channels of the signals that a process handles. Each kind has its own
// channel of capacity one: repeated signals are merged, and many reloads can't displace a
// termination.
type signals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

// catchSignals starts to catch the signals that a process handles.
func catchSignals() signals {
	received := signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(received.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(received.reload, syscall.SIGHUP)
	return received
}

// newStarted returns the channel on which Main passes the process to the signal handler once it is
// created.
func newStarted() chan Process { return make(chan Process, 1) }

// shutDownOnSignal waits for a termination signal and shuts the process down gracefully. A process
// that is still being created has accepted no work yet and needs no shutdown.
func shutDownOnSignal(terminate <-chan os.Signal, started <-chan Process, log hclog.Logger) {
	received := <-terminate
	log.Info("shutting down", "signal", received.String())
	select {
	case process := <-started:
		process.Shutdown()
	default:
	}
}

// checkOnReload checks the settings file at each reload signal and logs the result in one line.
// Settings are applied at the start only: sockets, limits and sets are created from them, so a
// valid change takes effect at the next start and interrupts nothing in progress.
func checkOnReload(reload <-chan os.Signal, load func() (*settings.Settings, error), log hclog.Logger) {
	for range reload {
		if _, err := load(); err != nil {
			log.Warn("changed settings are not valid", "err", err.Error())
			continue
		}
		log.Info("changed settings hold from the next start")
	}
}
