// Package httpreply writes the HTTP responses that the system itself generates, so that only few
// files write statuses and bodies directly.
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

// Writer is the destination of a response.
type Writer = http.ResponseWriter

// JSON writes a response with a status and a JSON body.
func JSON(writer Writer, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// All values come from the system itself, so a failure to encode one is a server error.
		Text(writer, http.StatusInternalServerError, "answer can't be written")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Error writes a response with a status and a reason in a JSON body.
func Error(writer Writer, status int, reason string) {
	JSON(writer, status, map[string]string{"error": reason})
}

// Text writes a response with a status and a short plain-text body.
func Text(writer Writer, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write([]byte(text))
}

// RetryAfter rejects a request. The response guarantees that nothing was or will be executed, and
// states when to retry.
func RetryAfter(writer Writer, status int, timeout clock.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	Text(writer, status, "no room now")
}

// Bytes writes a response with an encoded body.
func Bytes(writer Writer, status int, contentType string, body []byte) {
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// ReadBody reads a request's body of up to limit bytes, of which the handler needs memory for a
// number of copies, the body itself included. If that fails, it responds with 413, 408, 503 or 400
// and returns false.
func ReadBody(writer Writer, request *http.Request, limit, copies int64) ([]byte, bool) {
	body, err := inbound.Body{Limit: limit, Copies: copies, Timeout: constants.ControlBodyTimeout}.Read(writer, request)
	if err != nil {
		RejectBody(writer, err)
		return nil, false
	}
	return body, true
}

// RejectBody responds to a request whose body was not read completely, according to the error of
// inbound.Body, and closes its connection, since the bytes that follow on it are not a request.
// Nothing was or will be executed.
func RejectBody(writer Writer, err error) {
	writer.Header().Set("Connection", "close")
	switch {
	case errs.Is(err, inbound.ErrTooLarge):
		Error(writer, http.StatusRequestEntityTooLarge, "body too large")
	case errs.Is(err, inbound.ErrMemoryLimit):
		RetryAfter(writer, http.StatusServiceUnavailable, constants.ClientRetryAfter)
	case errs.Is(err, inbound.ErrDraining):
		RetryAfter(writer, http.StatusServiceUnavailable, constants.DrainRetryAfter)
	case errs.Is(err, inbound.ErrTooSlow):
		Error(writer, http.StatusRequestTimeout, "body not whole in time")
	default:
		Error(writer, http.StatusBadRequest, "body can't be read")
	}
}
