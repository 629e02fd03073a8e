// Package chisel keeps the pipes (connections) to workers. A pipe belongs to one
// life of a worker, carries one request at a time, and is dropped after anything
// that is not the answer to its request.
package chisel

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"lemonarch/internal/almanac"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// The mishaps of pipes.
var (
	// NoPipe means that nothing was sent.
	NoPipe = mishap.Define("no pipe to worker")
	// Spent means that nothing was sent, for want of a place in the budget.
	Spent = mishap.Define("connection budget spent")
	// Broken means that the request was sent, in part or whole, and may have run.
	Broken = mishap.Define("pipe broken")
	// Silent means that the worker said nothing in time.
	Silent = mishap.Define("worker silent")
)

// Pipe is one connection to one life of a worker.
type Pipe struct {
	connection net.Conn
	reader     *bufio.Reader
	worker     *workerPipes
	idleUntil  watch.Moment
	Reused     bool
	closed     atomic.Bool
}

type workerPipes struct {
	idle  []*Pipe
	open  int
	heard atomic.Int64
}

// Chest holds the pipes to all workers.
type Chest struct {
	lock    sync.Mutex
	workers map[string]*workerPipes
	Opened  atomic.Int64
}

// NewChest makes an empty one.
func NewChest() *Chest { return &Chest{workers: map[string]*workerPipes{}} }

func (chest *Chest) of(id string) *workerPipes {
	pipes := chest.workers[id]
	if pipes == nil {
		pipes = &workerPipes{}
		chest.workers[id] = pipes
	}
	return pipes
}

// Get gives an idle pipe that still looks sound, or opens one within the budget.
func (chest *Chest) Get(worker pattern.Worker, budget int) (*Pipe, error) {
	for {
		chest.lock.Lock()
		pipes := chest.of(worker.ID)
		count := len(pipes.idle)
		if count == 0 {
			if budget > 0 && pipes.open >= budget {
				chest.lock.Unlock()
				return nil, Spent.New(worker.ID)
			}
			pipes.open++
			chest.lock.Unlock()
			return chest.open(worker, pipes)
		}
		// The newest idle one is the least likely to have been closed.
		pipe := pipes.idle[count-1]
		pipes.idle = pipes.idle[:count-1]
		chest.lock.Unlock()
		if watch.Now() < pipe.idleUntil && pipe.quiet() {
			pipe.Reused = true
			return pipe, nil
		}
		chest.Drop(pipe)
	}
}

func (chest *Chest) open(worker pattern.Worker, pipes *workerPipes) (*Pipe, error) {
	connection, failure := tongs.Dial(worker.Address, almanac.WorkerDial, almanac.SilentPipe)
	if failure != nil {
		chest.lock.Lock()
		pipes.open--
		chest.lock.Unlock()
		return nil, NoPipe.Wrap(failure, worker.ID)
	}
	chest.Opened.Add(1)
	return &Pipe{connection: connection, reader: bufio.NewReaderSize(connection, 4<<10), worker: pipes}, nil
}

// quiet tells that an idle pipe neither ended nor holds bytes of nobody's.
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

// Send writes a whole request.
func (pipe *Pipe) Send(text []byte, until watch.Moment) error {
	_ = pipe.connection.SetWriteDeadline(watch.Deadline(until.Since(watch.Now())))
	if _, failure := pipe.connection.Write(text); failure != nil {
		return Broken.Wrap(failure, "write")
	}
	return nil
}

// Await waits for the next byte. patience is the silence of the whole worker
// after which it is given up; zero waits until the end.
func (pipe *Pipe) Await(until watch.Moment, patience watch.Span) error {
	if pipe.reader.Buffered() > 0 {
		return nil
	}
	begun := watch.Now()
	for {
		now := watch.Now()
		if now >= until {
			return Silent.New("until the deadline")
		}
		wait := until.Since(now)
		if patience > 0 {
			// A worker that still speaks on other pipes is slow, not silent.
			spoke := max(begun, watch.Moment(pipe.worker.heard.Load()))
			if now.Since(spoke) >= patience {
				return Silent.New("on every pipe")
			}
			wait = min(wait, patience-now.Since(spoke))
		}
		_ = pipe.connection.SetReadDeadline(watch.Deadline(wait))
		if _, failure := pipe.reader.Peek(1); failure == nil {
			pipe.worker.heard.Store(int64(watch.Now()))
			// What has begun to come may take until the end.
			_ = pipe.connection.SetReadDeadline(watch.Deadline(until.Since(watch.Now())))
			return nil
		} else if timeout, isNet := failure.(net.Error); !isNet || !timeout.Timeout() {
			return Broken.Wrap(failure, "read")
		}
	}
}

// Answer reads the head of an answer.
func (pipe *Pipe) Answer(method string) (*http.Response, error) {
	for {
		answer, failure := http.ReadResponse(pipe.reader, &http.Request{Method: method})
		if failure != nil {
			return nil, Broken.Wrap(failure, "answer")
		}
		if answer.StatusCode >= 200 {
			return answer, nil
		}
	}
}

// Keep puts a pipe back after a whole answer, if it may be used again.
func (chest *Chest) Keep(pipe *Pipe, answer *http.Response) {
	if pipe.closed.Load() || answer.Close || pipe.reader.Buffered() > 0 {
		chest.Drop(pipe)
		return
	}
	idle := almanac.PipeIdle
	if stated := keepAlive(answer.Header.Get("Keep-Alive")); stated > 0 {
		// Retire it before the worker does, or a request would meet the end.
		idle = min(idle, stated*3/5)
	}
	pipe.idleUntil = watch.Now().Plus(idle)
	chest.lock.Lock()
	defer chest.lock.Unlock()
	pipe.worker.idle = append(pipe.worker.idle, pipe)
}

func keepAlive(header string) watch.Span {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, failure := strconv.Atoi(value)
			if failure == nil {
				return watch.Milliseconds(float64(seconds) * 1000)
			}
		}
	}
	return 0
}

// Close ends the connection from any side, so that a reader wakes up.
func (pipe *Pipe) Close() {
	if !pipe.closed.Swap(true) {
		pipe.connection.Close()
	}
}

// Drop ends a pipe and gives its place in the budget back.
func (chest *Chest) Drop(pipe *Pipe) {
	pipe.Close()
	chest.lock.Lock()
	defer chest.lock.Unlock()
	pipe.worker.open--
}
