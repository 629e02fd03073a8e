package operatorapi

import (
	"net/http"
	"strconv"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
)

// headerBase is the header with the generation on which a change is based (PROTOCOL).
const headerBase = "Lemonarch-Base-Revision"

// bodyLimitFactor is the maximum size of a configuration as a multiple of constants.RequestLimit, the
// limit of a request body.
const bodyLimitFactor = 4

// configurationCopies is how many copies of a configuration are in memory while it is committed: the body
// as received, in a message of the register, and in the frame of that message.
const configurationCopies = 3

// handleReplace puts a configuration in force, based on the generation that the request names.
func (a *API) handleReplace(writer http.ResponseWriter, request *http.Request) {
	body, complete := httpreply.ReadBody(writer, request, bodyLimitFactor*constants.RequestLimit, configurationCopies)
	if !complete {
		return
	}
	base, err := strconv.ParseInt(request.Header.Get(headerBase), 10, 64)
	if err != nil || base < 0 {
		httpreply.Error(writer, http.StatusBadRequest, headerBase+" is missing or no number")
		return
	}
	a.checkLock.Lock()
	config, findings := a.checker.Check(body)
	a.checkLock.Unlock()
	if len(findings) > 0 {
		a.node.Log.Info("configuration rejected", "reason", findings[0])
		httpreply.JSON(writer, http.StatusBadRequest, rejection{Error: findings[0], Findings: findings})
		return
	}
	if !a.requireContact(writer) {
		return
	}
	version := messages.Version{Generation: config.Generation, Base: base, Hash: routeconfig.Hash(body)}
	outcome := a.configs.Commit(version, body)
	if outcome.Err != nil {
		// It is certain that the version is not in force only if no second round was started. That case and
		// the unknown outcome both get a 5xx status, and neither is a rejection.
		a.node.Log.Warn("configuration outcome unknown", "generation", config.Generation, "err", outcome.Err.Error())
		httpreply.Error(writer, http.StatusGatewayTimeout, outcome.Err.Error())
		return
	}
	switch outcome.Result {
	case register.ResultApplied, register.ResultAlreadyApplied:
		a.node.Log.Info("configuration acknowledged", "generation", config.Generation)
		httpreply.JSON(writer, http.StatusOK, map[string]int64{"generation": config.Generation})
	case register.ResultBaseAhead:
		// An earlier attempt that is still in flight may arrive once the base is in force and succeed, so
		// the request can't be rejected for good.
		httpreply.Error(writer, http.StatusGatewayTimeout, "the base is not in force")
	case register.ResultConflict:
		a.reject(writer, http.StatusPreconditionFailed, version, "another version is in place: "+strconv.FormatInt(outcome.Value.Current.Generation, 10))
	default:
		a.reject(writer, http.StatusBadRequest, version, "generation is not above the current one")
	}
}

// reject responds to a request that the register rejected, and logs it.
func (a *API) reject(writer http.ResponseWriter, status int, version messages.Version, reason string) {
	a.node.Log.Info("configuration rejected", "generation", version.Generation, "base", version.Base, "reason", reason)
	httpreply.Error(writer, status, reason)
}

// rejection is the body of a response to an invalid configuration.
type rejection struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings"`
}

// handleRead responds with the configuration in force, byte for byte as the operator sent it.
func (a *API) handleRead(writer http.ResponseWriter, _ *http.Request) {
	if !a.requireContact(writer) {
		return
	}
	value, err := a.replica.Read()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, contactserver.NoClearAnswer)
		return
	}
	if value.Current.Generation == 0 {
		httpreply.Error(writer, http.StatusNotFound, "no configuration yet")
		return
	}
	httpreply.Bytes(writer, http.StatusOK, "application/json", value.Body)
}
