package carriage

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/almanac"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/reply"
	"lemonarch/internal/watch"
)

// lotCalls is the tree of matchers for the calls on lots.
func (carriage *Carriage) lotCalls() *chi.Mux {
	tree := chi.NewRouter()
	tree.Get("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		cursor := 0
		if text := query.Get("page-cursor"); text != "" {
			value, failure := strconv.Atoi(text)
			if failure != nil || value < 0 {
				reply.Reason(writer, http.StatusBadRequest, "page-cursor is no position")
				return
			}
			cursor = value
		}
		hold, _ := strconv.Atoi(request.Header.Get(headerHold))
		carriage.passCall(writer, &pattern.LotCall{Method: http.MethodGet, Host: request.Host, Lot: chi.URLParam(request, "lot"), Cursor: cursor, HoldMs: max(hold, 0)})
	})
	tree.Delete("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		carriage.passCall(writer, &pattern.LotCall{Method: http.MethodDelete, Host: request.Host, Lot: chi.URLParam(request, "lot")})
	})
	tree.Get("/-/items/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		carriage.passCall(writer, &pattern.LotCall{Method: "ITEM", Host: request.Host, Lot: chi.URLParam(request, "lot"), Item: request.URL.Query().Get("id")})
	})
	tree.NotFound(func(writer http.ResponseWriter, _ *http.Request) {
		reply.Text(writer, http.StatusNotFound, "no such call")
	})
	return tree
}

func (carriage *Carriage) passCall(writer http.ResponseWriter, call *pattern.LotCall) {
	span := almanac.CallTime*2 + watch.Milliseconds(float64(call.HoldMs))
	answer, _ := carriage.Lots.Pass(call, span)
	if answer == nil {
		// The holder can't be asked: a node that can't be sure says so.
		reply.Later(writer, http.StatusServiceUnavailable, almanac.HoldRenewal)
		return
	}
	writeAnswer(writer, answer)
}

// handIn takes a lot on a bulk route.
func (carriage *Carriage) handIn(writer http.ResponseWriter, request *http.Request, route *jig.Route, path string, body []byte) {
	if request.Method != http.MethodPost {
		reply.Reason(writer, http.StatusMethodNotAllowed, "lots are handed in by POST")
		return
	}
	attempt := request.Header.Get(headerAttempt)
	if attempt == "" {
		reply.Reason(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	}
	call := &pattern.LotCall{Method: http.MethodPost, Host: request.Host, Path: path, Lot: attempt, Body: body}
	answer, maybe := carriage.Lots.Pass(call, almanac.BulkCallTime)
	switch {
	case answer != nil:
		if answer.Status == http.StatusAccepted {
			carriage.Counts.Served.Add(1)
		}
		writeAnswer(writer, answer)
	case maybe:
		// It may have been taken: nothing may be promised.
		reply.Reason(writer, http.StatusGatewayTimeout, "outcome unknown")
	default:
		carriage.Counts.Refused.Add(1)
		reply.Later(writer, http.StatusServiceUnavailable, almanac.HoldRenewal)
	}
}

func writeAnswer(writer http.ResponseWriter, answer *pattern.LotAnswer) {
	if answer.RetryMs > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(float64(answer.RetryMs)/1000, 'f', 3, 64))
	}
	kind := answer.Kind
	if kind == "" {
		kind = "application/json"
	}
	reply.Bytes(writer, answer.Status, kind, answer.Body)
}
