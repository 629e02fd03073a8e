// Package operatorapi serves the operator's calls on a controller: replacing and reading the
// configuration, and retiring the machines of stores, which responses call storage machines. A call
// with a 5xx response may or may not take effect; one with a 4xx response never does (PROTOCOL,
// Configuration and Retire).
package operatorapi

import (
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/configuration/configcheck"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/configserver"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/httpreply"
)

// API serves the operator's calls.
type API struct {
	node    *agent.Agent
	replica *registerserver.Replica
	sets    *registerserver.SetMaintainer
	configs *configserver.Server

	// checkLock guards checker, which is not safe for concurrent use.
	checkLock sync.Mutex
	checker   *configcheck.Checker
}

// New creates the API on the register of the configuration.
func New(replica *registerserver.Replica, sets *registerserver.SetMaintainer, configs *configserver.Server, checker *configcheck.Checker) *API {
	return &API{node: replica.Node, replica: replica, sets: sets, configs: configs, checker: checker}
}

// Register adds the operator's calls to a router.
func (a *API) Register(router chi.Router) {
	router.Post("/-/Configuration.Replace", a.handleReplace)
	router.Get("/-/Configuration.Read", a.handleRead)
	router.Post("/-/Retire.Open/{node}", a.handleRetireOpen)
	router.Get("/-/Retire.Read/{node}", a.handleRetireRead)
}

// requireContact reports whether this process is in contact with a majority. If it is not, it responds with
// 504, since the process can neither confirm nor reject the call.
func (a *API) requireContact(writer http.ResponseWriter) bool {
	if a.configs.Contact().Await() {
		return true
	}
	httpreply.Error(writer, http.StatusGatewayTimeout, contactserver.NoClearAnswer)
	return false
}
