package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is what the stand-ins of model workers share: how many streams each runs, and what
// they saw.
type engine struct {
	fleet *fleet
	// slots is how many requests a worker works on at once, queue how many more wait.
	slots, queue int
	// events is the length of a stream, step the time between two events.
	events int
	step   time.Duration
	// pauseAt is the event behind which a run is silent, for pause; none where it is 0.
	pauseAt int
	pause   time.Duration

	lock sync.Mutex
	// load counts the requests that run and wait, by worker.
	load map[string]*load
	// runs tells how each run ended, by attempt.
	runs map[string][]*streamRun
}

type load struct {
	running, waiting int
	free             chan struct{}
}

// streamRun is one run of a stream at a worker.
type streamRun struct {
	worker string
	// from is the event that it goes on behind, last the last one that was sent.
	from, last int
	// complete tells that all of it was sent, closedByCaller that the connection was closed first.
	complete, closedByCaller bool
}

func newEngine(f *fleet) *engine {
	return &engine{fleet: f, load: map[string]*load{}, runs: map[string][]*streamRun{}}
}

func (e *engine) of(w *worker) *load {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.load[w.id] == nil {
		e.load[w.id] = &load{free: make(chan struct{}, e.slots)}
		for range e.slots {
			e.load[w.id].free <- struct{}{}
		}
	}
	return e.load[w.id]
}

// serve answers streams as a sound worker does: so many at once, a few wait, more are turned away.
func (e *engine) serve(w *worker, connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(w, connection, reader, request) {
			return
		}
	}
}

// answer answers one request; false where the connection is over.
func (e *engine) answer(w *worker, connection net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id, own := request.Header.Get("Lemonarch-Attempt-Id"), e.of(w)
	e.lock.Lock()
	if own.running+own.waiting >= e.slots+e.queue {
		stated := fmt.Sprintf("%d,%d,%d", own.running, own.waiting, e.slots)
		e.lock.Unlock()
		e.fleet.record.note("worker %s is full (%s) and does not run %s", w.id, stated, id)
		_, err := fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: %s\r\nContent-Length: 0\r\n\r\n", id, stated)
		return err == nil
	}
	own.waiting++
	e.lock.Unlock()
	gone := watchClose(reader)
	select {
	case <-own.free:
	case <-gone:
		e.lock.Lock()
		own.waiting--
		e.lock.Unlock()
		return false
	}
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	run := &streamRun{worker: w.id, from: from, last: from}
	e.lock.Lock()
	own.waiting--
	own.running++
	e.runs[id] = append(e.runs[id], run)
	stated := fmt.Sprintf("%d,%d,%d", own.running, own.waiting, e.slots)
	e.lock.Unlock()
	e.fleet.record.note("worker %s runs %s from event %d", w.id, id, from+1)
	alive := e.stream(w, connection, gone, id, stated, run)
	e.lock.Lock()
	own.running--
	run.complete, run.closedByCaller = alive, !alive
	e.lock.Unlock()
	own.free <- struct{}{}
	if !alive {
		e.fleet.record.note("worker %s: the caller closed the connection of %s behind event %d of %d", w.id, id, run.last, e.events)
	}
	// What was read ahead belongs to the next request: a new connection is simpler.
	return false
}

// watchClose closes its channel once the other side closes the connection.
func watchClose(reader *bufio.Reader) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = reader.Peek(1)
	}()
	return gone
}

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// stream sends the events of a run; false where its caller closed the connection.
func (e *engine) stream(w *worker, connection net.Conn, gone <-chan struct{}, id, stated string, run *streamRun) bool {
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal.%s.%s\r\nLemonarch-Worker-Load: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id, id, stated)
	for number := run.from + 1; err == nil && number <= e.events; number++ {
		wait := e.step
		if e.pauseAt > 0 && run.from == 0 && number == e.pauseAt+1 {
			e.fleet.record.note("worker %s is silent on %s behind event %d, for %v", w.id, id, e.pauseAt, e.pause)
			wait = e.pause
		}
		select {
		case <-time.After(wait):
		case <-gone:
			return false
		}
		text := eventText(id, number)
		if _, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text); err == nil {
			run.last = number
		}
	}
	if err == nil {
		_, err = fmt.Fprint(connection, "0\r\n\r\n")
	}
	return err == nil
}

// whole gives the whole text of a stream.
func (e *engine) whole(id string) string {
	text := ""
	for number := 1; number <= e.events; number++ {
		text += eventText(id, number)
	}
	return text
}
