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

// headerBase names the version that a change builds on (PROTOCOL).
const headerBase = "Lemonarch-Base-Revision"

// bodyLimitFactor is how much larger a configuration may be than a request body (ours).
const bodyLimitFactor = 4

// configurationCopies is how often a configuration is held while it is committed: as it came, in a
// message of the register, and in the frame of that message.
const configurationCopies = 3

// handleReplace puts a configuration in force on top of its base.
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
		httpreply.JSON(writer, http.StatusBadRequest, refusal{Error: findings[0], Findings: findings})
		return
	}
	if !a.requireContact(writer) {
		return
	}
	version := messages.Version{Generation: config.Generation, Base: base, Hash: routeconfig.Hash(body)}
	outcome := a.configs.Commit(version, body)
	if outcome.Err != nil {
		// Not in force for certain only without a second round; both are 5xx, and
		// neither is a refusal.
		a.node.Log.Warn("configuration outcome unknown", "generation", config.Generation, "err", outcome.Err.Error())
		httpreply.Error(writer, http.StatusGatewayTimeout, outcome.Err.Error())
		return
	}
	switch outcome.Result {
	case register.ResultApplied, register.ResultAlreadyApplied:
		a.node.Log.Info("configuration acknowledged", "generation", config.Generation)
		httpreply.JSON(writer, http.StatusOK, map[string]int64{"generation": config.Generation})
	case register.ResultBaseAhead:
		// An earlier attempt that is still on its way could meet the base in force: no
		// refusal holds for ever here.
		httpreply.Error(writer, http.StatusGatewayTimeout, "the base is not in force")
	case register.ResultConflict:
		a.refuse(writer, http.StatusPreconditionFailed, version, "another version is in place: "+strconv.FormatInt(outcome.Value.Current.Generation, 10))
	default:
		a.refuse(writer, http.StatusBadRequest, version, "generation is not above the current one")
	}
}

// refuse answers an order that the register refused, and logs it.
func (a *API) refuse(writer http.ResponseWriter, status int, version messages.Version, why string) {
	a.node.Log.Info("configuration rejected", "generation", version.Generation, "base", version.Base, "reason", why)
	httpreply.Error(writer, status, why)
}

// refusal is the body of a response to a configuration that is not valid.
type refusal struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings"`
}

// handleRead gives the configuration in force, as it was sent.
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
