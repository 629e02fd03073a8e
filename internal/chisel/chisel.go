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
	idleSince  watch.Moment
	idleUntil  watch.Moment
	backend    string
	// Reused tells that it has carried a request before, and Idle how long it then lay
	// unused.
	Reused bool
	Idle   watch.Span
	closed atomic.Bool
	// halted: our own side ended it, which says nothing about the worker.
	halted atomic.Bool
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
	safe    map[string]watch.Span
	Opened  atomic.Int64
	// Forgot counts idle pipes that turned out to be forgotten by their worker.
	Forgot atomic.Int64
}

// NewChest makes an empty one.
func NewChest() *Chest {
	return &Chest{workers: map[string]*workerPipes{}, safe: map[string]watch.Span{}}
}

func (chest *Chest) of(id string) *workerPipes {
	pipes := chest.workers[id]
	if pipes == nil {
		pipes = &workerPipes{}
		chest.workers[id] = pipes
	}
	return pipes
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
	return &Pipe{connection: connection, reader: bufio.NewReaderSize(connection, 4<<10), worker: pipes, backend: worker.Backend}, nil
}

// Send writes a whole request.
func (pipe *Pipe) Send(text []byte, until watch.Moment) error {
	_ = pipe.connection.SetWriteDeadline(watch.Deadline(until.Since(watch.Now())))
	if _, failure := pipe.connection.Write(text); failure != nil {
		return Broken.Wrap(failure, "write")
	}
	return nil
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
	pipe.idleSince = watch.Now()
	pipe.idleUntil = pipe.idleSince.Plus(idle)
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
	pipe.halted.Store(true)
	pipe.shut()
}

// Halted tells that it was our own side that ended the connection.
func (pipe *Pipe) Halted() bool { return pipe.halted.Load() }

func (pipe *Pipe) shut() {
	if !pipe.closed.Swap(true) {
		pipe.connection.Close()
	}
}

// Drop ends a pipe and gives its place in the budget back.
func (chest *Chest) Drop(pipe *Pipe) {
	pipe.shut()
	chest.lock.Lock()
	defer chest.lock.Unlock()
	pipe.worker.open--
}
