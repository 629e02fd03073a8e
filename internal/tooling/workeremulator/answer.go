package workeremulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// The headers of the protocol that a worker reads or writes.
const (
	headerAttempt  = "Lemonarch-Attempt-Id"
	headerTarget   = "Lemonarch-Target-Worker"
	headerSeal     = "Lemonarch-Server-Seal"
	headerNotRun   = "Lemonarch-Not-Executed"
	headerLoad     = "Lemonarch-Worker-Load"
	headerID       = "Lemonarch-Worker-Id"
	headerTokens   = "Lemonarch-Token-Count"
	headerPrefix   = "Lemonarch-Prompt-Prefix"
	headerModel    = "Lemonarch-Model"
	headerTimeLeft = "Lemonarch-Time-Left-Ms"
	headerRevision = "Lemonarch-Expected-Revision"
	headerWeights  = "Lemonarch-Weight-Versions"
	headerLast     = "Last-Event-Id"
)

// fate is which troubles one request meets.
type fate struct {
	fail, full, hang, cut, garble, surplus, skip, forge, never bool
	late                                                       clock.Duration
	leaving                                                    bool
}

func (w *Worker) draw(attempt string) fate {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.handled++
	faults := &w.faults
	return fate{fail: w.chance(faults.Fail), full: w.chance(faults.Full), hang: w.chance(faults.Hang),
		cut: w.chance(faults.Cut), garble: w.chance(faults.Garble), surplus: w.chance(faults.Surplus),
		skip: w.chance(faults.Skip), forge: w.chance(faults.Forge), late: faults.late(), leaving: w.leaving, never: hopeless(attempt, faults.Never)}
}

// notRun answers that the request did not run and never will.
func (w *Worker) notRun(writer http.ResponseWriter, status int, why string) {
	writer.Header().Set(headerNotRun, "1")
	httpreply.Error(writer, status, why)
}

// answer serves one request of a route.
func (w *Worker) answer(writer http.ResponseWriter, request *http.Request) {
	header := request.Header
	attempt := header.Get(headerAttempt)
	body, err := io.ReadAll(io.LimitReader(request.Body, constants.RequestLimit*4))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fate := w.draw(attempt)
	if fate.leaving {
		writer.Header().Set("Connection", "close")
	} else {
		writer.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(constants.EmulatorIdle.Seconds())))
	}
	if attempt != "" {
		writer.Header().Set(headerAttempt, attempt)
	}
	revision := strconv.FormatInt(w.Settings.Revision, 10)
	switch target, expected := header.Get(headerTarget), header.Get(headerRevision); {
	case attempt == "":
		w.notRun(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	case target != "" && target != w.Settings.ID, expected != "" && expected != revision:
		w.notRun(writer, http.StatusMisdirectedRequest, "another worker is meant")
		return
	case fate.full:
		w.notRun(writer, http.StatusServiceUnavailable, "full")
		return
	}
	req, readable := w.ask(header)
	if !readable {
		w.notRun(writer, http.StatusBadRequest, headerTokens+" or "+headerPrefix+" can't be read")
		return
	}
	about := Run{Attempt: attempt, Worker: w.Settings.ID, Service: w.Settings.Service, Method: request.Method,
		Path: request.RequestURI, Body: BodySum(body), From: req.From}
	ticket, entry := w.enter(req, about)
	// A worker drops a request once its connection has closed.
	defer w.leave(ticket)
	talk := &exchange{worker: w, writer: writer, request: request, body: body, attempt: attempt, fate: fate, ask: req}
	talk.run(entry)
}

// ask reads what a request wants of the engine.
func (w *Worker) ask(header http.Header) (Ask, bool) {
	request := Ask{Model: header.Get(headerModel)}
	if text := header.Get(headerTimeLeft); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || left < 0 {
			return request, false
		}
		request.Until = w.clockValue.Now().Add(clock.Milliseconds(left))
	}
	if w.Settings.Model == "" {
		request.Work = max(w.Settings.Work, 1)
		return request, true
	}
	var readable bool
	request.In, request.Out, request.Parts, readable = ParsePrompt(header.Get(headerTokens), header.Get(headerPrefix))
	// Bounded: what is asked for reserves room for its events.
	readable = readable && request.Out <= constants.EmulatorOutLimit
	if last := header.Get(headerLast); readable && last != "" {
		number, err := strconv.ParseInt(last, 10, 64)
		request.From, readable = number, err == nil && number >= 0
	}
	return request, readable
}

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

// run writes what the engine makes, until the answer is whole or broken.
func (e *exchange) run(entry *waiter) {
	if e.fate.late > 0 {
		bell := make(chan struct{})
		e.worker.clockValue.After(e.fate.late, func() { close(bell) })
		select {
		case <-bell:
		case <-e.request.Context().Done():
			return
		}
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
		switch effect.Kind {
		case EffectRefuse:
			e.worker.notRun(e.writer, http.StatusServiceUnavailable, "full, or too late")
			return
		case EffectExpire:
			if e.headSent {
				panic(http.ErrAbortHandler)
			}
			httpreply.Error(e.writer, http.StatusGatewayTimeout, "out of time")
			return
		case EffectBegin:
			if e.garbled() {
				return
			}
			if e.fate.never {
				httpreply.Error(e.writer, http.StatusUnprocessableEntity, "can never be done")
				return
			}
			if e.fate.fail {
				httpreply.Error(e.writer, http.StatusInternalServerError, "failed")
				return
			}
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
			return
		}
	}
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
