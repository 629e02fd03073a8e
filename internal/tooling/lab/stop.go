package lab

import (
	"net"
	"strconv"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// GatewayStop is the SIGTERM of a gateway.
type GatewayStop struct {
	// Ingress is the address for requests of clients.
	Ingress string `json:"ingress"`
	// AtNanos is the Unix time of the SIGTERM in ns, ExitNanos that of the exit, 0 before it. GraceS is the
	// time from the SIGTERM to the SIGKILL in seconds.
	AtNanos   int64   `json:"at-ns"`
	ExitNanos int64   `json:"exit-ns"`
	GraceS    float64 `json:"grace-s"`
}

// stopGracefully stops a process and waits for its exit. It sends SIGTERM again after againS seconds,
// unless that is 0.
func (f *Fleet) stopGracefully(target *process, againS float64) {
	if target.node.role == "gateway" {
		recordExit := f.recordStop(net.JoinHostPort(target.node.address, strconv.Itoa(constants.LabIngressPort)))
		defer recordExit()
	}
	if againS > 0 {
		f.runningTroubles.Add(1)
		go func() {
			defer f.runningTroubles.Done()
			if f.pause(seconds(againS)) {
				target.terminateAgain()
			}
		}()
	}
	target.stop()
}

// recordStop records the stop of a gateway that begins now. The caller calls recordExit once the process has
// exited.
func (f *Fleet) recordStop(ingress string) (recordExit func()) {
	f.lock.Lock()
	defer f.lock.Unlock()
	index := len(f.stops)
	f.stops = append(f.stops, GatewayStop{Ingress: ingress, AtNanos: clock.WallNanos(), GraceS: constants.LabGrace.Seconds()})
	return func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.stops[index].ExitNanos = clock.WallNanos()
	}
}

// gatewayStops returns the graceful stops of gateways so far.
func (f *Fleet) gatewayStops() []GatewayStop {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]GatewayStop(nil), f.stops...)
}

// terminateAgain sends SIGTERM to the process if the lab is stopping it, and does nothing if it has exited
// or has been started again.
func (p *process) terminateAgain() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil || !p.expected {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
}
