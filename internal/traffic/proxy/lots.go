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

// lotCalls is the tree of matchers for the calls on lots.
func (p *Proxy) lotCalls() *chi.Mux {
	tree := chi.NewRouter()
	tree.Get("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		cursor := 0
		if text := query.Get("page-cursor"); text != "" {
			value, err := strconv.Atoi(text)
			if err != nil || value < 0 {
				httpreply.Reason(writer, http.StatusBadRequest, "page-cursor is no position")
				return
			}
			cursor = value
		}
		hold, _ := strconv.Atoi(request.Header.Get(headerHold))
		p.passCall(writer, &messages.LotCall{Method: http.MethodGet, Host: request.Host, Lot: chi.URLParam(request, "lot"), Cursor: cursor, HoldMs: max(hold, 0)})
	})
	tree.Delete("/-/lots/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		p.passCall(writer, &messages.LotCall{Method: http.MethodDelete, Host: request.Host, Lot: chi.URLParam(request, "lot")})
	})
	tree.Get("/-/items/{lot}", func(writer http.ResponseWriter, request *http.Request) {
		p.passCall(writer, &messages.LotCall{Method: "ITEM", Host: request.Host, Lot: chi.URLParam(request, "lot"), Item: request.URL.Query().Get("id")})
	})
	tree.NotFound(func(writer http.ResponseWriter, _ *http.Request) {
		httpreply.Text(writer, http.StatusNotFound, "no such call")
	})
	return tree
}

func (p *Proxy) passCall(writer http.ResponseWriter, call *messages.LotCall) {
	span := constants.CallTime*2 + clock.Milliseconds(float64(call.HoldMs))
	answer, _ := p.Lots.Pass(call, span)
	if answer == nil {
		// The holder can't be asked: a node that can't be sure says so.
		httpreply.Later(writer, http.StatusServiceUnavailable, constants.HoldRenewal)
		return
	}
	writeAnswer(writer, answer)
}

// handIn takes a lot on a bulk route.
func (p *Proxy) handIn(writer http.ResponseWriter, request *http.Request, route *routeconfig.Route, path string, body []byte) {
	if request.Method != http.MethodPost {
		httpreply.Reason(writer, http.StatusMethodNotAllowed, "lots are handed in by POST")
		return
	}
	attempt := request.Header.Get(headerAttempt)
	if attempt == "" {
		httpreply.Reason(writer, http.StatusBadRequest, headerAttempt+" is missing")
		return
	}
	call := &messages.LotCall{Method: http.MethodPost, Host: request.Host, Path: path, Lot: attempt, Body: body}
	answer, maybe := p.Lots.Pass(call, min(constants.BulkCallTime, route.Cutoff()))
	switch {
	case answer != nil:
		if answer.Status == http.StatusAccepted {
			p.Counts.Served.Add(1)
		}
		writeAnswer(writer, answer)
	case maybe:
		// It may have been taken: nothing may be promised.
		httpreply.Reason(writer, http.StatusGatewayTimeout, "outcome unknown")
	default:
		p.Counts.Refused.Add(1)
		httpreply.Later(writer, http.StatusServiceUnavailable, constants.HoldRenewal)
	}
}

func writeAnswer(writer http.ResponseWriter, answer *messages.LotAnswer) {
	if answer.RetryMs > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(float64(answer.RetryMs)/1000, 'f', 3, 64))
	}
	kind := answer.Kind
	if kind == "" {
		kind = "application/json"
	}
	httpreply.Bytes(writer, answer.Status, kind, answer.Body)
}
