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
	late                                                       clock.Span
	leaving                                                    bool
}

func (worker *Worker) draw(attempt string) fate {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.handled++
	faults := &worker.faults
	return fate{fail: worker.chance(faults.Fail), full: worker.chance(faults.Full), hang: worker.chance(faults.Hang),
		cut: worker.chance(faults.Cut), garble: worker.chance(faults.Garble), surplus: worker.chance(faults.Surplus),
		skip: worker.chance(faults.Skip), forge: worker.chance(faults.Forge), late: faults.late(), leaving: worker.leaving, never: hopeless(attempt, faults.Never)}
}

// notRun answers that the request did not run and never will.
func (worker *Worker) notRun(writer http.ResponseWriter, status int, why string) {
	writer.Header().Set(headerNotRun, "1")
	httpreply.Reason(writer, status, why)
}

// answer serves one request of a route.
func (worker *Worker) answer(writer http.ResponseWriter, request *http.Request) {
	header := request.Header
	attempt := header.Get(headerAttempt)
	body, err := io.ReadAll(io.LimitReader(request.Body, constants.RequestLimit*4))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fate := worker.draw(attempt)
	if fate.leaving {
		writer.Header().Set("Connection", "close")
	} else {
		writer.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(constants.EmulatorIdle.Seconds())))
	}
	if attempt != "" {
		writer.Header().Set(headerAttempt, attempt)
	}
	revision := strconv.FormatInt(worker.Settings.Revision, 10)
	switch target, expected := header.Get(headerTarget), header.Get(headerRevision); {
	case attempt == "":
		worker.notRun(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	case target != "" && target != worker.Settings.ID, expected != "" && expected != revision:
		worker.notRun(writer, http.StatusMisdirectedRequest, "another worker is meant")
		return
	case fate.full:
		worker.notRun(writer, http.StatusServiceUnavailable, "full")
		return
	}
	ask, readable := worker.ask(header)
	if !readable {
		worker.notRun(writer, http.StatusBadRequest, headerTokens+" or "+headerPrefix+" can't be read")
		return
	}
	about := Run{Attempt: attempt, Worker: worker.Settings.ID, Service: worker.Settings.Service, Method: request.Method,
		Path: request.RequestURI, Body: BodySum(body), From: ask.From}
	ticket, one := worker.enter(ask, about)
	// A worker drops a request once its connection has closed.
	defer worker.leave(ticket)
	talk := &exchange{worker: worker, writer: writer, request: request, body: body, attempt: attempt, fate: fate, ask: ask}
	talk.run(one)
}

// ask reads what a request wants of the engine.
func (worker *Worker) ask(header http.Header) (Ask, bool) {
	ask := Ask{Model: header.Get(headerModel)}
	if text := header.Get(headerTimeLeft); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || left < 0 {
			return ask, false
		}
		ask.Until = worker.clockValue.Now().Plus(clock.Milliseconds(left))
	}
	if worker.Settings.Model == "" {
		ask.Work = max(worker.Settings.Work, 1)
		return ask, true
	}
	readable := true
	ask.In, ask.Out, ask.Parts, readable = ParsePrompt(header.Get(headerTokens), header.Get(headerPrefix))
	// Bounded: what is asked for reserves room for its events.
	readable = readable && ask.Out <= constants.EmulatorOutLimit
	if last := header.Get(headerLast); readable && last != "" {
		number, err := strconv.ParseInt(last, 10, 64)
		ask.From, readable = number, err == nil && number >= 0
	}
	return ask, readable
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
func (talk *exchange) run(one *waiter) {
	if talk.fate.late > 0 {
		bell := make(chan struct{})
		talk.worker.clockValue.After(talk.fate.late, func() { close(bell) })
		select {
		case <-bell:
		case <-talk.request.Context().Done():
			return
		}
	}
	half := max(Events(talk.ask.Out, talk.worker.Settings.Shape.Stride)/2, 1)
	for {
		var effect Effect
		select {
		case effect = <-one.effects:
		case <-talk.request.Context().Done():
			return
		}
		if talk.fate.hang && effect.Kind != EffectRefuse {
			// Silence, while the connection stays: only its other end can end it.
			<-talk.request.Context().Done()
			return
		}
		switch effect.Kind {
		case EffectRefuse:
			talk.worker.notRun(talk.writer, http.StatusServiceUnavailable, "full, or too late")
			return
		case EffectExpire:
			if talk.headSent {
				panic(http.ErrAbortHandler)
			}
			httpreply.Reason(talk.writer, http.StatusGatewayTimeout, "out of time")
			return
		case EffectBegin:
			if talk.garbled() {
				return
			}
			if talk.fate.never {
				httpreply.Reason(talk.writer, http.StatusUnprocessableEntity, "can never be done")
				return
			}
			if talk.fate.fail {
				httpreply.Reason(talk.writer, http.StatusInternalServerError, "failed")
				return
			}
		case EffectEvent:
			if talk.fate.cut && effect.Number > half {
				panic(http.ErrAbortHandler)
			}
			if !talk.fate.skip || effect.Number != half {
				talk.event(effect.Number)
			}
		case EffectFinish:
			if talk.finish() {
				talk.worker.record.End(one.run)
			}
			return
		}
	}
}

func (talk *exchange) head(kind string) {
	header := talk.writer.Header()
	seal := Seal(talk.worker.Settings.ID, talk.attempt)
	if talk.fate.forge {
		seal = Seal(talk.worker.Settings.ID, "another")
	}
	header.Set(headerSeal, seal)
	header.Set("Content-Type", kind)
	header.Set(headerWeights, strconv.FormatInt(talk.worker.Settings.Revision, 10))
	talk.worker.lock.Lock()
	header.Set(headerLoad, talk.worker.load())
	talk.worker.lock.Unlock()
	talk.headSent = true
}

func (talk *exchange) event(number int64) {
	if !talk.headSent {
		talk.head("text/event-stream")
	}
	fmt.Fprintf(talk.writer, "id: %d\ndata: %s\n\n", number, EventData(talk.attempt, number))
	talk.flush()
}

func (talk *exchange) flush() {
	if flusher, can := talk.writer.(http.Flusher); can {
		flusher.Flush()
	}
}

// finish ends an answer; false where it was broken on purpose.
func (talk *exchange) finish() bool {
	if talk.ask.Work == 0 {
		if !talk.headSent {
			talk.head("text/event-stream")
		}
		return true
	}
	text := PlainBody(talk.attempt, talk.body)
	talk.head("text/plain")
	if talk.fate.surplus {
		return talk.doubled(text)
	}
	talk.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if talk.fate.cut {
		_, _ = io.WriteString(talk.writer, text[:len(text)/2])
		talk.flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(talk.writer, text)
	return true
}
