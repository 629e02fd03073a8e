package inbound

import (
	"net/http"

	"lemonarch/internal/platform/constants"
)

// NewServer returns the HTTP server for a Listener. The Listener bounds connections and heads; each
// handler bounds the body that it reads. Idle connections are closed after constants.ControlIdle.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           Handler(handler),
		ReadHeaderTimeout: constants.BulkCallTimeout,
		IdleTimeout:       constants.ControlIdle,
		MaxHeaderBytes:    constants.ServerHeadMax,
		ConnContext:       ConnContext,
		ConnState:         ConnState,
	}
}
