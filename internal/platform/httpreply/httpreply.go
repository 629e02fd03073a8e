// Package httpreply holds the answers of the system's own: small wrappers so that
// few files write statuses and bodies by hand.
package httpreply

import (
	"encoding/json"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/inbound"
)

// Writer is where an answer is written.
type Writer = http.ResponseWriter

// JSON writes a body with a status.
func JSON(writer Writer, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// An own value that can't be written is a fault of ours, and says so.
		Text(writer, http.StatusInternalServerError, "answer can't be written")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Error writes a status with a reason in a JSON body.
func Error(writer Writer, status int, reason string) {
	JSON(writer, status, map[string]string{"error": reason})
}

// Text writes a short plain body.
func Text(writer Writer, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write([]byte(text))
}

// RetryAfter refuses with the promise that nothing ran or will run, and says when to
// come back.
func RetryAfter(writer Writer, status int, timeout clock.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	Text(writer, status, "no room now")
}

// Bytes writes a body as it stands.
func Bytes(writer Writer, status int, kind string, body []byte) {
	writer.Header().Set("Content-Type", kind)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// ReadBody reads a request's body of up to limit bytes, of which the handler makes a number of
// copies, its own included. Where that fails it answers with 413, 408, 503 or 400, and gives false.
func ReadBody(writer Writer, request *http.Request, limit, copies int64) ([]byte, bool) {
	body, err := inbound.Body{Limit: limit, Copies: copies, Timeout: constants.ControlBodyTimeout}.Read(writer, request)
	if err != nil {
		RefuseBody(writer, err)
		return nil, false
	}
	return body, true
}

// RefuseBody answers a request whose body was not read whole, by the error of inbound.Body, and
// ends its connection: what follows on it is no request. Nothing ran and nothing will.
func RefuseBody(writer Writer, err error) {
	writer.Header().Set("Connection", "close")
	switch {
	case errs.Is(err, inbound.ErrTooLarge):
		Error(writer, http.StatusRequestEntityTooLarge, "body too large")
	case errs.Is(err, inbound.ErrNoRoom):
		RetryAfter(writer, http.StatusServiceUnavailable, constants.ClientRetryAfter)
	case errs.Is(err, inbound.ErrTooSlow):
		Error(writer, http.StatusRequestTimeout, "body not whole in time")
	default:
		Error(writer, http.StatusBadRequest, "body can't be read")
	}
}
