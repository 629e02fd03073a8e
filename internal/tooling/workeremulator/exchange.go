package workeremulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/httpreply"
)

// exchange is one request on its connection.
type exchange struct {
	worker   *Worker
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	attempt  string
	fate     fate
	ask      Ask
	headSent bool
}

// run writes what the engine makes, until the response is complete or broken.
func (e *exchange) run(entry *waiter) {
	if e.fate.late > 0 && !e.waitLate() {
		return
	}
	half := max(Events(e.ask.Out, e.worker.Settings.Shape.Stride)/2, 1)
	for {
		var effect Effect
		select {
		case effect = <-entry.effects:
		case <-e.request.Context().Done():
			return
		}
		if e.fate.hang && effect.Kind != EffectRefuse {
			// Silence, while the connection stays: only its other end can end it.
			<-e.request.Context().Done()
			return
		}
		if e.apply(effect, half, entry) {
			return
		}
	}
}

// waitLate waits for as long as this response is to be late; false where its client left.
func (e *exchange) waitLate() bool {
	over := make(chan struct{})
	e.worker.clockValue.After(e.fate.late, func() { close(over) })
	select {
	case <-over:
		return true
	case <-e.request.Context().Done():
		return false
	}
}

// apply writes what follows from one effect, and tells whether the response is over. half is
// the event at which troubles strike.
func (e *exchange) apply(effect Effect, half int64, entry *waiter) (over bool) {
	switch effect.Kind {
	case EffectRefuse:
		e.worker.notRun(e.writer, http.StatusServiceUnavailable, "full, or too late")
		return true
	case EffectExpire:
		if e.headSent {
			panic(http.ErrAbortHandler)
		}
		httpreply.Error(e.writer, http.StatusGatewayTimeout, "out of time")
		return true
	case EffectBegin:
		return e.begin()
	case EffectEvent:
		if e.fate.cut && effect.Number > half {
			panic(http.ErrAbortHandler)
		}
		if !e.fate.skip || effect.Number != half {
			e.event(effect.Number)
		}
	case EffectFinish:
		if e.finish() {
			e.worker.record.End(entry.run)
		}
		return true
	}
	return false
}

// begin answers at once where the request meets a trouble that strikes at its beginning.
func (e *exchange) begin() (over bool) {
	switch {
	case e.garbled():
		return true
	case e.fate.never:
		httpreply.Error(e.writer, http.StatusUnprocessableEntity, "can never be done")
		return true
	case e.fate.fail:
		httpreply.Error(e.writer, http.StatusInternalServerError, "failed")
		return true
	}
	return false
}

func (e *exchange) head(kind string) {
	header := e.writer.Header()
	seal := Seal(e.worker.Settings.ID, e.attempt)
	if e.fate.forge {
		seal = Seal(e.worker.Settings.ID, "another")
	}
	header.Set(headerSeal, seal)
	header.Set("Content-Type", kind)
	header.Set(headerWeights, strconv.FormatInt(e.worker.Settings.Revision, 10))
	e.worker.lock.Lock()
	header.Set(headerLoad, e.worker.load())
	e.worker.lock.Unlock()
	e.headSent = true
}

func (e *exchange) event(number int64) {
	if !e.headSent {
		e.head("text/event-stream")
	}
	fmt.Fprintf(e.writer, "id: %d\ndata: %s\n\n", number, EventData(e.attempt, number))
	e.flush()
}

func (e *exchange) flush() {
	if flusher, can := e.writer.(http.Flusher); can {
		flusher.Flush()
	}
}

// finish ends an answer; false where it was broken on purpose.
func (e *exchange) finish() bool {
	if e.ask.Work == 0 {
		if !e.headSent {
			e.head("text/event-stream")
		}
		return true
	}
	text := PlainBody(e.attempt, e.body)
	e.head("text/plain")
	if e.fate.surplus {
		return e.doubled(text)
	}
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if e.fate.cut {
		_, _ = io.WriteString(e.writer, text[:len(text)/2])
		e.flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(e.writer, text)
	return true
}
