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
	// AtNanos is the Unix time in ns, and GraceS the time to the SIGKILL in seconds.
	AtNanos int64   `json:"at-ns"`
	GraceS  float64 `json:"grace-s"`
}

// stopGracefully stops a process and waits for its exit. It sends SIGTERM again after againS seconds,
// unless that is 0.
func (f *Fleet) stopGracefully(target *process, againS float64) {
	if target.node.role == "gateway" {
		ingress := net.JoinHostPort(target.node.address, strconv.Itoa(constants.LabIngressPort))
		f.lock.Lock()
		f.stops = append(f.stops, GatewayStop{ingress, clock.WallNanos(), constants.LabGrace.Seconds()})
		f.lock.Unlock()
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
