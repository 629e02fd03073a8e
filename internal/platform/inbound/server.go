package inbound

import (
	"net/http"

	"lemonarch/internal/platform/constants"
)

// NewServer makes the server of a Listener, which bounds connections and heads; bodies are bounded by
// those who read them. Idle connections end by constants.ControlIdle.
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
