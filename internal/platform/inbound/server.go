package inbound

import (
	"net/http"

	"lemonarch/internal/platform/constants"
)

// NewServer makes the server of a listener whose callers are workers, the operator or the platform:
// heads and idle connections are bounded, and bodies by those who read them.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           Handler(handler),
		ReadHeaderTimeout: constants.BulkCallTimeout,
		IdleTimeout:       constants.ControlIdle,
		MaxHeaderBytes:    constants.HeadLimit,
		ConnContext:       ConnContext,
		ConnState:         ConnState,
	}
}
