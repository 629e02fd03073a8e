package workeremulator

import (
	"io"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// The protocol headers that a worker reads or writes.
const (
	headerAttempt     = "Lemonarch-Attempt-Id"
	headerTarget      = "Lemonarch-Target-Worker"
	headerSeal        = "Lemonarch-Server-Seal"
	headerNotExecuted = "Lemonarch-Not-Executed"
	headerLoad        = "Lemonarch-Worker-Load"
	headerID          = "Lemonarch-Worker-Id"
	headerTokens      = "Lemonarch-Token-Count"
	headerPrefix      = "Lemonarch-Prompt-Prefix"
	headerModel       = "Lemonarch-Model"
	headerTimeLeft    = "Lemonarch-Time-Left-Ms"
	headerRevision    = "Lemonarch-Expected-Revision"
	headerWeights     = "Lemonarch-Weight-Versions"
	headerLastEventID = "Last-Event-Id"
)

// drawnFaults are the faults drawn for one request.
type drawnFaults struct {
	fail, full, hang, cut, garble, surplus, skip, forge, never bool
	late                                                       clock.Duration
	draining                                                   bool
}

func (w *Worker) drawFaults(attempt string) drawnFaults {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.handled++
	faults := &w.faults
	return drawnFaults{fail: w.chance(faults.Fail), full: w.chance(faults.Full), hang: w.chance(faults.Hang),
		cut: w.chance(faults.Cut), garble: w.chance(faults.Garble), surplus: w.chance(faults.Surplus),
		skip: w.chance(faults.Skip), forge: w.chance(faults.Forge), late: faults.lateBy(), draining: w.draining, never: neverSucceeds(attempt, faults.Never)}
}

// rejectNotExecuted responds that the request was not executed and never will be.
func (w *Worker) rejectNotExecuted(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(headerNotExecuted, "1")
	httpreply.Error(writer, status, reason)
}

// serveRequest serves one request of a route.
func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	header := request.Header
	attempt := header.Get(headerAttempt)
	body, err := io.ReadAll(io.LimitReader(request.Body, constants.RequestLimit*4))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faults := w.drawFaults(attempt)
	if faults.draining {
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
		w.rejectNotExecuted(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	case target != "" && target != w.Settings.ID, expected != "" && expected != revision:
		w.rejectNotExecuted(writer, http.StatusMisdirectedRequest, "another worker is meant")
		return
	case faults.full:
		w.rejectNotExecuted(writer, http.StatusServiceUnavailable, "full")
		return
	}
	req, readable := w.parseRequest(header)
	if !readable {
		w.rejectNotExecuted(writer, http.StatusBadRequest, headerTokens+" or "+headerPrefix+" can't be read")
		return
	}
	template := Run{Attempt: attempt, Worker: w.Settings.ID, Service: w.Settings.Service, Method: request.Method,
		Path: request.RequestURI, Body: BodySum(body), From: req.LastEvent}
	ticket, waiting := w.submit(req, template)
	// A worker must drop a request once its connection has closed.
	defer w.cancel(ticket)
	current := &exchange{worker: w, writer: writer, request: request, body: body, attempt: attempt, faults: faults, engineRequest: req}
	current.run(waiting)
}

// parseRequest reads from the headers what a request requires of the engine. It returns false
// if a header can't be parsed.
func (w *Worker) parseRequest(header http.Header) (EngineRequest, bool) {
	request := EngineRequest{Model: header.Get(headerModel)}
	if text := header.Get(headerTimeLeft); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || left < 0 {
			return request, false
		}
		request.Deadline = w.clockValue.Now().Add(clock.Milliseconds(left))
	}
	if w.Settings.Model == "" {
		request.Work = max(w.Settings.Work, 1)
		return request, true
	}
	var readable bool
	request.In, request.Out, request.Parts, readable = ParsePrompt(header.Get(headerTokens), header.Get(headerPrefix))
	// The output is limited because a channel with capacity for all of its events is allocated
	// up front.
	readable = readable && request.Out <= constants.EmulatorOutLimit
	if last := header.Get(headerLastEventID); readable && last != "" {
		number, err := strconv.ParseInt(last, 10, 64)
		request.LastEvent, readable = number, err == nil && number >= 0
	}
	return request, readable
}
