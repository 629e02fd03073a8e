package chisel

import (
	"net"
	"syscall"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Reuse says which idle pipes a request may travel on.
type Reuse int

// The choices.
const (
	// ReuseAny: a reset is mended by sending it again.
	ReuseAny Reuse = iota
	// ReuseSafe: only one that was idle for a time that is known to be short. A worker
	// may forget an idle connection without a word, and a request that must not run
	// twice can't be sent again after the reset.
	ReuseSafe
	// ReuseNone: a new one.
	ReuseNone
)

// Get gives an idle pipe that still looks sound, or opens one within the budget.
func (chest *Chest) Get(worker pattern.Worker, budget int, reuse Reuse) (*Pipe, error) {
	for {
		chest.lock.Lock()
		pipes := chest.of(worker.ID)
		count := len(pipes.idle)
		now := watch.Now()
		// The newest idle one is the least likely to have been closed.
		if count == 0 || reuse == ReuseNone ||
			(reuse == ReuseSafe && now.Since(pipes.idle[count-1].idleSince) > chest.safeIdle(worker.Backend)) {
			if budget > 0 && pipes.open >= budget && count > 0 {
				// The oldest idle one makes room.
				oldest := pipes.idle[0]
				pipes.idle = append(pipes.idle[:0], pipes.idle[1:]...)
				chest.lock.Unlock()
				chest.Drop(oldest)
				continue
			}
			if budget > 0 && pipes.open >= budget {
				chest.lock.Unlock()
				return nil, Spent.New(worker.ID)
			}
			pipes.open++
			chest.lock.Unlock()
			return chest.open(worker, pipes)
		}
		pipe := pipes.idle[count-1]
		pipes.idle = pipes.idle[:count-1]
		chest.lock.Unlock()
		pipe.Idle = now.Since(pipe.idleSince)
		if now < pipe.idleUntil && pipe.quiet() {
			pipe.Reused = true
			return pipe, nil
		}
		chest.Drop(pipe)
	}
}

// safeIdle is the time for which a service's pipes are known to stay. The lock is held.
func (chest *Chest) safeIdle(backend string) watch.Span {
	if safe, known := chest.safe[backend]; known {
		return safe
	}
	return almanac.SafeIdle
}

// Survived learns from a pipe that still worked after it was idle.
func (chest *Chest) Survived(pipe *Pipe) {
	if !pipe.Reused {
		return
	}
	chest.lock.Lock()
	defer chest.lock.Unlock()
	// Half of what was seen to last, and slowly: one forgetful worker is enough.
	if safe := chest.safeIdle(pipe.backend); pipe.Idle/2 > safe {
		const slowly = 16
		chest.safe[pipe.backend] = min(safe+(pipe.Idle/2-safe)/slowly, almanac.SafeIdleMost)
	}
}

// Forgotten learns from a reset on a pipe that was idle, before any byte came back.
func (chest *Chest) Forgotten(pipe *Pipe) {
	chest.Forgot.Add(1)
	chest.lock.Lock()
	defer chest.lock.Unlock()
	chest.safe[pipe.backend] = max(min(chest.safeIdle(pipe.backend), pipe.Idle/2), almanac.SafeIdleLeast)
}

// SafeIdle tells the learnt time.
func (chest *Chest) SafeIdle(backend string) watch.Span {
	chest.lock.Lock()
	defer chest.lock.Unlock()
	return chest.safeIdle(backend)
}

// quiet tells that a pipe neither ended nor holds bytes that nobody has read.
func (pipe *Pipe) quiet() bool {
	if pipe.reader.Buffered() > 0 {
		return false
	}
	raw, failure := pipe.connection.(*net.TCPConn).SyscallConn()
	if failure != nil {
		return false
	}
	quiet := false
	failure = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, problem := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = problem == syscall.EAGAIN || problem == syscall.EWOULDBLOCK
		return true
	})
	return failure == nil && quiet
}
