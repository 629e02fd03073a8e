package proxy

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
)

// jobRoutes returns the router for the calls on batch jobs.
func (p *Proxy) jobRoutes() *chi.Mux {
	router := chi.NewRouter()
	router.Get("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		cursor := 0
		if cursorText := query.Get("page-cursor"); cursorText != "" {
			value, err := strconv.Atoi(cursorText)
			if err != nil || value < 0 {
				httpreply.Error(writer, http.StatusBadRequest, "page-cursor is no position")
				return
			}
			cursor = value
		}
		wait, _ := strconv.Atoi(request.Header.Get(headerHold))
		p.forwardJobCall(writer, &messages.JobCallRequest{Method: http.MethodGet, Host: request.Host, Job: chi.URLParam(request, "lot"), Cursor: cursor, WaitMs: max(wait, 0)})
	})
	router.Delete("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		p.forwardJobCall(writer, &messages.JobCallRequest{Method: http.MethodDelete, Host: request.Host, Job: chi.URLParam(request, "lot")})
	})
	router.Get("/-/items/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		p.forwardJobCall(writer, &messages.JobCallRequest{Method: "ITEM", Host: request.Host, Job: chi.URLParam(request, "lot"), Item: request.URL.Query().Get("id")})
	})
	router.NotFound(func(writer http.ResponseWriter, _ *http.Request) {
		httpreply.Text(writer, http.StatusNotFound, "no such call")
	})
	return router
}

// forwardJobCall forwards a call on a batch job to the leading store and writes its response.
func (p *Proxy) forwardJobCall(writer http.ResponseWriter, call *messages.JobCallRequest) {
	wait := clock.Milliseconds(float64(call.WaitMs))
	if p.JobCallMax > 0 {
		// A read may be held for less than the client allows (PROTOCOL, lots).
		wait = min(wait, max(p.JobCallMax-2*constants.CallTimeout, 0))
		call.WaitMs = int(wait.Milliseconds())
	}
	resp, _ := p.Jobs.Forward(call, 2*constants.CallTimeout+wait)
	if resp == nil {
		// The leading store can't be reached, so the state of the job is not known.
		httpreply.RetryAfter(writer, http.StatusServiceUnavailable, constants.LeaseRenewPeriod)
		return
	}
	writeResponse(writer, resp)
}

// submitJob forwards the submission of a batch job on a bulk route to the leading store.
func (p *Proxy) submitJob(writer http.ResponseWriter, request *http.Request, route *routeconfig.Route, path string, body []byte) {
	if request.Method != http.MethodPost {
		httpreply.Error(writer, http.StatusMethodNotAllowed, "lots are handed in by POST")
		return
	}
	attempt := request.Header.Get(headerAttempt)
	if attempt == "" {
		httpreply.Error(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	}
	call := &messages.JobCallRequest{Method: http.MethodPost, Host: request.Host, Path: path, Job: attempt, Body: body}
	timeout := min(constants.BulkCallTimeout, route.Cutoff())
	if p.JobCallMax > 0 {
		timeout = min(timeout, p.JobCallMax)
	}
	resp, mayHaveRun := p.Jobs.Forward(call, timeout)
	switch {
	case resp != nil:
		if resp.Status == http.StatusAccepted {
			p.Counts.Served.Add(1)
		}
		writeResponse(writer, resp)
	case mayHaveRun:
		// The store may have accepted the job, so the response must not promise that it will not run.
		httpreply.Error(writer, http.StatusGatewayTimeout, "outcome unknown")
	default:
		p.Counts.Rejected.Add(1)
		httpreply.RetryAfter(writer, http.StatusServiceUnavailable, constants.LeaseRenewPeriod)
	}
}

func writeResponse(writer http.ResponseWriter, resp *messages.JobCallResponse) {
	if resp.RetryAfterMs > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(float64(resp.RetryAfterMs)/1000, 'f', 3, 64))
	}
	contentType := resp.ContentType
	if contentType == "" {
		contentType = "application/json"
	}
	httpreply.Bytes(writer, resp.Status, contentType, resp.Body)
}
