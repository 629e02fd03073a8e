package hollowfleet

import (
	"os"

	"golang.org/x/sys/unix"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
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
	// An address of its own for each process, beyond those of any fleet.
	address := machineAddress(10_000+os.Getpid()%40_000) + ":17099"
	server, client := transport.NewTCP(address), transport.NewTCP("")
	defer server.Close()
	defer client.Close()
	if err := server.Serve(func(messages.Kind, []byte) ([]byte, error) { return make([]byte, wireBody), nil }); err != nil {
		return 0, err
	}
	body := make([]byte, wireBody)
	call := func() error {
		_, err := client.Call(address, messages.KindShuffle, body, clock.Milliseconds(5000))
		return err
	}
	if err := call(); err != nil {
		return 0, err
	}
	before := processTime()
	for range wireCalls {
		if err := call(); err != nil {
			return 0, ErrNotStarted.Wrap(err, "wire")
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
