package chisel

import (
	"net"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// Wait says how long to wait for the next byte.
type Wait struct {
	Until watch.Moment
	// Patience is the silence after which Impatient is asked, and again after each
	// further one; zero waits until the end.
	Patience watch.Span
	// Impatient decides whether to give the worker up after a silence on this pipe.
	// Where nil, it is given up once it was silent on all its pipes for that long.
	Impatient func(silence watch.Span) bool
}

// Await waits for the next byte.
func (pipe *Pipe) Await(wait Wait) error {
	if pipe.reader.Buffered() > 0 {
		return nil
	}
	begun := watch.Now()
	asked := begun
	for {
		now := watch.Now()
		if now >= wait.Until && pipe.silent() {
			return Silent.New("until the deadline")
		}
		span := max(wait.Until.Since(now), almanac.PumpPeriod)
		if wait.Patience > 0 {
			from := asked
			if wait.Impatient == nil {
				// A worker that still speaks on other pipes is slow, not silent.
				from = max(begun, watch.Moment(pipe.worker.heard.Load()))
			}
			if now.Since(from) >= wait.Patience && pipe.silent() {
				if wait.Impatient == nil || wait.Impatient(now.Since(begun)) {
					return Silent.New("longer than usual")
				}
				asked, from = now, now
			}
			span = min(span, max(wait.Patience-now.Since(from), almanac.PumpPeriod/8))
		}
		_ = pipe.connection.SetReadDeadline(watch.Deadline(span))
		if _, failure := pipe.reader.Peek(1); failure == nil {
			pipe.worker.heard.Store(int64(watch.Now()))
			// What has begun to come may take until the end.
			_ = pipe.connection.SetReadDeadline(watch.Deadline(wait.Until.Since(watch.Now())))
			return nil
		} else if timeout, isNet := failure.(net.Error); !isNet || !timeout.Timeout() {
			return Broken.Wrap(failure, "read")
		}
	}
}

// silent tells that really nothing has come: on a starved processor the clock may run
// out before the bytes that lie ready were looked at.
func (pipe *Pipe) silent() bool {
	_ = pipe.connection.SetReadDeadline(watch.Deadline(almanac.PumpPeriod))
	return pipe.quiet()
}
