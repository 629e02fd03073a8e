package workeremulator

import (
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
