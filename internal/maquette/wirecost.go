package maquette

import (
	"golang.org/x/sys/unix"

	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// What a frame on a real socket costs beside the steps of the cores: measured between
// two transports on loopback, calls one after the other.
const (
	wireCalls = 4000
	wireBody  = 500
)

// WireCost gives the processor time of this process, in us, for one frame sent and
// received, answers counted as frames.
func WireCost() (float64, error) {
	address := machineAddress(9999) + ":17099"
	server, client := tongs.NewWire(address), tongs.NewWire("")
	defer server.Close()
	defer client.Close()
	if failure := server.Serve(func(pattern.Kind, []byte) ([]byte, error) { return make([]byte, wireBody), nil }); failure != nil {
		return 0, failure
	}
	body := make([]byte, wireBody)
	call := func() error {
		_, failure := client.Call(address, pattern.KindShuffle, body, watch.Milliseconds(5000))
		return failure
	}
	if failure := call(); failure != nil {
		return 0, failure
	}
	before := processTime()
	for range wireCalls {
		if failure := call(); failure != nil {
			return 0, Unstarted.Wrap(failure, "wire")
		}
	}
	return float64(processTime()-before) / 1e3 / (2 * wireCalls), nil
}

// processTime is the processor time of this process in ns, the kernel's part included.
func processTime() int64 {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now) != nil {
		return 0
	}
	return now.Nano()
}
