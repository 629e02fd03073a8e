package workeremulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/httpreply"
)

// exchange is one request and its response on a connection.
type exchange struct {
	worker        *Worker
	writer        http.ResponseWriter
	request       *http.Request
	body          []byte
	attempt       string
	faults        drawnFaults
	engineRequest EngineRequest
	headSent      bool
}

// run writes the effects of the engine until the response is complete or was broken by a fault.
func (e *exchange) run(waiting *waiter) {
	if e.faults.late > 0 && !e.waitLate() {
		return
	}
	faultEvent := max(Events(e.engineRequest.Out, e.worker.Settings.Shape.Stride)/2, 1)
	for {
		var effect Effect
		select {
		case effect = <-waiting.effects:
		case <-e.request.Context().Done():
			return
		}
		if e.faults.hang && effect.Kind != EffectReject {
			// Send nothing and keep the connection open until the other side closes it.
			<-e.request.Context().Done()
			return
		}
		if e.apply(effect, faultEvent, waiting) {
			return
		}
	}
}

// waitLate waits for as long as this response is to be delayed. It returns false if the client
// left before.
func (e *exchange) waitLate() bool {
	done := make(chan struct{})
	e.worker.clockValue.After(e.faults.late, func() { close(done) })
	select {
	case <-done:
		return true
	case <-e.request.Context().Done():
		return false
	}
}

// apply writes the result of one effect and reports whether the response is complete.
// faultEvent is the number of the event at which cut and skip take effect, the one half way through
// the whole stream.
func (e *exchange) apply(effect Effect, faultEvent int64, waiting *waiter) (complete bool) {
	switch effect.Kind {
	case EffectReject:
		e.worker.rejectNotExecuted(e.writer, http.StatusServiceUnavailable, "full, or too late")
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
		if e.faults.cut && effect.Number > faultEvent {
			panic(http.ErrAbortHandler)
		}
		if !e.faults.skip || effect.Number != faultEvent {
			e.writeEvent(effect.Number)
		}
	case EffectFinish:
		if e.finish() {
			e.worker.record.End(waiting.run)
		}
		return true
	}
	return false
}

// begin sends the response of a fault that takes effect at the start of a run. It returns false
// if none was drawn for the request.
func (e *exchange) begin() (complete bool) {
	switch {
	case e.writeGarbled():
		return true
	case e.faults.never:
		httpreply.Error(e.writer, http.StatusUnprocessableEntity, "can never be done")
		return true
	case e.faults.fail:
		httpreply.Error(e.writer, http.StatusInternalServerError, "failed")
		return true
	}
	return false
}

func (e *exchange) writeHead(kind string) {
	header := e.writer.Header()
	seal := Seal(e.worker.Settings.ID, e.attempt)
	if e.faults.forge {
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

func (e *exchange) writeEvent(number int64) {
	if !e.headSent {
		e.writeHead("text/event-stream")
	}
	fmt.Fprintf(e.writer, "id: %d\ndata: %s\n\n", number, EventData(e.attempt, number))
	e.flush()
}

func (e *exchange) flush() {
	if flusher, ok := e.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// finish ends a response. It returns false if the response was deliberately broken.
func (e *exchange) finish() bool {
	if e.engineRequest.Work == 0 {
		if !e.headSent {
			e.writeHead("text/event-stream")
		}
		return true
	}
	text := PlainBody(e.attempt, e.body)
	e.writeHead("text/plain")
	if e.faults.surplus {
		return e.writeTwice(text)
	}
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if e.faults.cut {
		_, _ = io.WriteString(e.writer, text[:len(text)/2])
		e.flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(e.writer, text)
	return true
}
