package crowd

import (
	"encoding/hex"
	"net"
	"os"
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
)

// watchPeriodMs is the time between two looks at the process.
const watchPeriodMs = 10

// Cost is the most that a process was seen to use.
type PeakUsage struct {
	// Resident is the peak of its resident memory in bytes, as the system tells it.
	Resident int64
	// Unread is the most bytes that had arrived on its connections and were not yet read.
	Unread int64
	// Both is the most that resident memory and unread bytes made together at one look.
	Combined int64
	// Descriptors is the most that were open.
	Descriptors int
}

// Watch looks at one process until it is stopped.
type Watch struct {
	process int
	// address is the process's address in the notation of /proc/net/tcp, without the port.
	address string
	ports   map[string]bool
	stop    chan struct{}
	done    chan struct{}
	usage    PeakUsage
}

// NewWatch begins to watch a process that listens at an address on some ports.
func NewWatch(process int, address string, ports ...int) (*Watch, error) {
	host := net.ParseIP(address).To4()
	if host == nil {
		return nil, ErrInvalidCrowd.New("no address: " + address)
	}
	// The kernel writes addresses in the byte order of the machine, which is little-endian on
	// x86-64 and arm64.
	reversed := []byte{host[3], host[2], host[1], host[0]}
	w := &Watch{process: process, address: strings.ToUpper(hex.EncodeToString(reversed)), ports: map[string]bool{}, stop: make(chan struct{}), done: make(chan struct{})}
	for _, port := range ports {
		w.ports[strings.ToUpper(hex.EncodeToString([]byte{byte(port >> 8), byte(port)}))] = true
	}
	if _, err := w.status("VmRSS:"); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// Stop ends the watch and gives what was seen.
func (w *Watch) Stop() PeakUsage {
	close(w.stop)
	<-w.done
	w.sample()
	return w.usage
}

func (w *Watch) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-clock.After(clock.Milliseconds(watchPeriodMs)):
			w.sample()
		}
	}
}

// look takes one sample; a process that is gone gives none.
func (w *Watch) sample() {
	resident, err := w.status("VmRSS:")
	if err != nil {
		return
	}
	if peak, err := w.status("VmHWM:"); err == nil {
		w.usage.Resident = max(w.usage.Resident, peak)
	}
	unread := w.unreadBytes()
	w.usage.Unread = max(w.usage.Unread, unread)
	w.usage.Combined = max(w.usage.Combined, resident+unread)
	if entries, err := os.ReadDir("/proc/" + strconv.Itoa(w.process) + "/fd"); err == nil {
		w.usage.Descriptors = max(w.usage.Descriptors, len(entries))
	}
}

// status reads one line of the process's status, in bytes.
func (w *Watch) status(name string) (int64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(w.process) + "/status")
	if err != nil {
		return 0, ErrInvalidCrowd.Wrap(err, "process")
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == name {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, ErrInvalidCrowd.Wrap(err, name)
		}
	}
	return 0, ErrInvalidCrowd.New("no " + name)
}

// The columns of /proc/net/tcp, and the state of a socket that listens.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	stateListen  = "0A"
)

// unread adds up what waits to be read on the process's ports. What waits on a listening socket
// are connections, not bytes.
func (w *Watch) unreadBytes() int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= columnQueues || fields[columnState] == stateListen {
			continue
		}
		address, port, _ := strings.Cut(fields[columnLocal], ":")
		if address != w.address || !w.ports[port] {
			continue
		}
		_, receiving, _ := strings.Cut(fields[columnQueues], ":")
		waiting, err := strconv.ParseInt(receiving, 16, 64)
		if err == nil {
			total += waiting
		}
	}
	return total
}
