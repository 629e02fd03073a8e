package workeremulator

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
)

// cancelledRead is a connection whose first read ends without bytes, as when the server cancels
// a pending read. The second read returns one byte.
type cancelledRead struct {
	net.Conn
	reads int
}

func (c *cancelledRead) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(buffer, "x"), nil
}

func (c *cancelledRead) Close() error { return nil }

// TestCancelledReadIsNotActivity checks that a cancelled read does not count as activity on the
// connection: the server cancels a pending read after a response, sometimes only after the clock has
// advanced.
func TestCancelledReadIsNotActivity(t *testing.T) {
	clockValue := &immediateClock{now: clock.Instant(time.Second)}
	worker := NewWorker(plainSettings, &Record{}, clockValue, 1)
	worker.SetFaults(Faults{ForgetMs: 500})
	conn := &connection{Conn: &cancelledRead{}, listener: newLimitedListener(nil, worker), active: clockValue.Now()}
	clockValue.After(time.Second, func() {})
	if count, err := conn.Read(make([]byte, 1)); count != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("cancelled read returned %d bytes and error %v, want 0 and os.ErrDeadlineExceeded", count, err)
	}
	if count, err := conn.Read(make([]byte, 1)); count != 0 || !errors.Is(err, net.ErrClosed) {
		t.Fatalf("read from a forgotten connection returned %d bytes and error %v, want 0 and net.ErrClosed", count, err)
	}
}
