package store

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// power is the power supply of a process. Once it is lost, the process reaches neither disk nor
// network, and its pending operations have no effect.
type power struct{ lost atomic.Bool }

// poweredDisk is a machine's disk as used by one process. It fails once the process has lost power.
type poweredDisk struct {
	*simulation.Disk
	power *power
}

func (d poweredDisk) Open(name string) (recordlog.File, error) {
	if d.power.lost.Load() {
		return nil, simulation.ErrDown
	}
	file, err := d.Disk.Open(name)
	if err != nil {
		return nil, err
	}
	return poweredFile{file, d.power}, nil
}

// poweredFile is an open file of a poweredDisk.
type poweredFile struct {
	recordlog.File
	power *power
}

func (f poweredFile) Write(text []byte) (int, error) {
	if f.power.lost.Load() {
		return 0, simulation.ErrDown
	}
	return f.File.Write(text)
}

func (f poweredFile) Sync() error {
	if f.power.lost.Load() {
		return simulation.ErrDown
	}
	return f.File.Sync()
}

func (f poweredFile) Truncate(size int64) error {
	if f.power.lost.Load() {
		return simulation.ErrDown
	}
	return f.File.Truncate(size)
}

// linkDelay is the latency of a message on an idle link.
const linkDelay = clock.Duration(500_000)

// link is a machine's network link. It transmits messages one after the other.
type link struct {
	lock           sync.Mutex
	freeAt         clock.Instant
	bytesPerSecond float64
}

// transmit waits until a message of a number of bytes has been transmitted.
func (l *link) transmit(bytes int) {
	l.lock.Lock()
	now := clock.Now()
	l.freeAt = max(l.freeAt, now).Add(clock.Milliseconds(float64(bytes) / l.bytesPerSecond * 1000))
	left := l.freeAt.Sub(now)
	l.lock.Unlock()
	clock.Sleep(left + linkDelay)
}

// poweredTransport is the transport of one process of a recoveryFleet. Bytes take time on its
// machine's link. Machines without power do not respond, nor does a process whose machine has
// lost power since its start.
type poweredTransport struct {
	*transport.Memory
	fleet   *recoveryFleet
	power   *power
	address string
}

func (t poweredTransport) Serve(handler transport.Handler) error {
	return t.Memory.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		resp, err := handler(kind, body)
		if t.power.lost.Load() {
			return nil, simulation.ErrDown
		}
		t.fleet.links[t.address].transmit(len(resp))
		return resp, err
	})
}

func (t poweredTransport) Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	sentAt := clock.Now()
	t.fleet.links[t.address].transmit(len(body))
	left := timeout - clock.Now().Sub(sentAt)
	if left <= 0 || t.power.lost.Load() || t.fleet.isPoweredOff(address) {
		clock.Sleep(max(left, 0))
		return nil, transport.ErrTimeout.New(address)
	}
	resp, err := t.Memory.Call(address, kind, body, left)
	if t.power.lost.Load() {
		return nil, transport.ErrTimeout.New(address)
	}
	return resp, err
}
