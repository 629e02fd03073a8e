// Package httpreply holds the answers of the system's own: small wrappers so that
// few files write statuses and bodies by hand.
package httpreply

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
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

// ReadBody reads a request's body of up to limit bytes. Where that fails it answers with 413
// or 400, and gives false.
func ReadBody(writer Writer, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Error(writer, http.StatusRequestEntityTooLarge, "body too large")
	} else {
		Error(writer, http.StatusBadRequest, "body cut short")
	}
	return nil, false
}
