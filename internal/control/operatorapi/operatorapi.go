// Package operatorapi serves the operator's calls on a controller: replacing and reading the
// configuration, and retiring storage machines. An answer with a 5xx status may or may not
// have taken effect; a 4xx never will (PROTOCOL, Configuration and Retire).
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

	// checkLock guards checker, which is for one caller at a time.
	checkLock sync.Mutex
	checker   *configcheck.Checker
}

// New makes the API on the register of the configuration.
func New(replica *registerserver.Replica, sets *registerserver.SetMaintainer, configs *configserver.Server, checker *configcheck.Checker) *API {
	return &API{node: replica.Node, replica: replica, sets: sets, configs: configs, checker: checker}
}

// Register adds the operator's calls to a tree of matchers.
func (a *API) Register(tree chi.Router) {
	tree.Post("/-/Configuration.Replace", a.handleReplace)
	tree.Get("/-/Configuration.Read", a.handleRead)
	tree.Post("/-/Retire.Open/{node}", a.handleRetireOpen)
	tree.Get("/-/Retire.Read/{node}", a.handleRetireRead)
}

// requireContact answers with 504 where this process has no contact with a majority: it can
// neither confirm nor refuse.
func (a *API) requireContact(writer http.ResponseWriter) bool {
	if a.configs.Contact().Await() {
		return true
	}
	httpreply.Error(writer, http.StatusGatewayTimeout, contactserver.NoClearAnswer)
	return false
}
