package crowd

import (
	"encoding/hex"
	"net"
	"os"
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
)

// watchPeriodMs is the time between two samples, in milliseconds.
const watchPeriodMs = 10

// PeakUsage is the highest resource usage of a process seen in any sample.
type PeakUsage struct {
	// Resident is the peak of the resident memory in bytes as recorded by the kernel (VmHWM).
	Resident int64
	// Unread is the highest number of bytes received on its connections and not yet read by it.
	Unread int64
	// Combined is the highest sum of resident memory and unread bytes in one sample.
	Combined int64
	// Descriptors is the highest number of open file descriptors.
	Descriptors int
}

// Watch samples the resource usage of one process until it is stopped.
type Watch struct {
	// process is the process id.
	process int
	// address is the process's address in the notation of /proc/net/tcp, without the port.
	address string
	// ports are the process's ports in the same notation.
	ports map[string]bool
	stop  chan struct{}
	done  chan struct{}
	usage PeakUsage
}

// NewWatch starts to watch the process with the given id, which listens on the given address and
// ports.
func NewWatch(process int, address string, ports ...int) (*Watch, error) {
	host := net.ParseIP(address).To4()
	if host == nil {
		return nil, ErrInvalidCrowd.New("not an IPv4 address: " + address)
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

// Stop ends the watch, takes a last sample and returns the peak usage.
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

// sample takes one sample. It does nothing if the process has ended.
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

// status returns the value of one line of /proc/PID/status, in bytes.
func (w *Watch) status(name string) (int64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(w.process) + "/status")
	if err != nil {
		return 0, ErrInvalidCrowd.Wrap(err, "read process status")
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == name {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, ErrInvalidCrowd.Wrap(err, name)
		}
	}
	return 0, ErrInvalidCrowd.New("process status has no line " + name)
}

// The columns of /proc/net/tcp, and the state of a listening socket.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	stateListen  = "0A"
)

// unreadBytes returns the number of unread bytes in the receive queues of the process's ports.
// Listening sockets are left out: their receive queue counts connections, not bytes.
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
		_, receiveQueue, _ := strings.Cut(fields[columnQueues], ":")
		unread, err := strconv.ParseInt(receiveQueue, 16, 64)
		if err == nil {
			total += unread
		}
	}
	return total
}
