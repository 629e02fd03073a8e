package controller

import (
	"net/http"
	"strconv"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
)

// replaceOutcome is how a change of the configuration came out.
type replaceOutcome struct {
	value  messages.RegisterValue
	result register.Result
	err    error
}

// confirmed tells whether the version is in force.
func (r *replaceOutcome) confirmed() bool {
	return r.err == nil && r.result.InForce()
}

// requireContact sends a caller away without a clear answer where this process has no
// contact with a majority: it can neither confirm nor refuse.
func (c *Controller) requireContact(writer http.ResponseWriter) bool {
	if c.awaitContact() {
		return true
	}
	httpreply.Error(writer, http.StatusGatewayTimeout, noClearAnswer)
	return false
}

func (c *Controller) handleReplace(writer http.ResponseWriter, request *http.Request) {
	body, complete := readBody(writer, request, bodyLimitFactor*constants.RequestLimit)
	if !complete {
		return
	}
	base, err := strconv.ParseInt(request.Header.Get(headerBase), 10, 64)
	if err != nil || base < 0 {
		httpreply.Error(writer, http.StatusBadRequest, headerBase+" is missing or no number")
		return
	}
	c.checking.Lock()
	config, findings := c.checker.Check(body)
	c.checking.Unlock()
	if len(findings) > 0 {
		c.Node.Log.Info("configuration refused", "why", findings[0])
		httpreply.JSON(writer, http.StatusBadRequest, refusal{Error: findings[0], Findings: findings})
		return
	}
	if !c.requireContact(writer) {
		return
	}
	version := messages.Version{Generation: config.Generation, Base: base, Hash: routeconfig.Hash(body)}
	r, attached := whileInContact(c, func() replaceOutcome { return c.commitVersion(version, body) })
	if !attached {
		r.err = ErrNoContact.New("contact was lost meanwhile")
	}
	if r.err != nil {
		// Not in force for certain only without a second round; both are 5xx, and
		// neither is a refusal.
		c.Node.Log.Warn("configuration unclear", "generation", config.Generation, "why", r.err.Error())
		httpreply.Error(writer, http.StatusGatewayTimeout, r.err.Error())
		return
	}
	switch r.result {
	case register.ResultApplied, register.ResultAlreadyApplied:
		c.Node.Log.Info("configuration acknowledged", "generation", config.Generation)
		httpreply.JSON(writer, http.StatusOK, map[string]int64{"generation": config.Generation})
	case register.ResultBaseAhead:
		// An earlier try that is still on its way could meet the base in force: no
		// refusal holds for ever here.
		httpreply.Error(writer, http.StatusGatewayTimeout, "the base is not in force")
	case register.ResultConflict:
		c.refuse(writer, http.StatusPreconditionFailed, version, "another version is in place: "+strconv.FormatInt(r.value.Current.Generation, 10))
	default:
		c.refuse(writer, http.StatusBadRequest, version, "generation is not above the current one")
	}
}

// refuse answers an order that the register refused, and logs it.
func (c *Controller) refuse(writer http.ResponseWriter, status int, version messages.Version, why string) {
	c.Node.Log.Info("configuration refused", "generation", version.Generation, "base", version.Base, "why", why)
	httpreply.Error(writer, status, why)
}

// refusal is the body of an answer to a configuration that is not valid.
type refusal struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings"`
}

// commitVersion puts a version in force, waits until the set that holds it outlasts the
// fault budget, and has everybody told.
func (c *Controller) commitVersion(version messages.Version, body []byte) replaceOutcome {
	var r replaceOutcome
	r.value, r.result, r.err = c.Register.Replace(version, body)
	for end := clock.Now().Add(constants.CallTimeout); r.confirmed() && !c.toleratesBudget(&r.value); {
		if clock.Now() > end {
			r.err = register.ErrOutcomeUnknown.New("the set of acceptors is still growing")
			return r
		}
		// It is in force, yet the losses of the budget could take it away again: it is
		// confirmed only once the set is whole, which takes the value along.
		clock.Sleep(constants.TickPeriod)
		r.value, r.result, r.err = c.Register.Replace(version, body)
	}
	if r.err == nil {
		c.applyChosen(r.value, r.confirmed())
	}
	return r
}

func (c *Controller) handleRead(writer http.ResponseWriter, _ *http.Request) {
	if !c.requireContact(writer) {
		return
	}
	value, err := c.Register.Read()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, noClearAnswer)
		return
	}
	if value.Current.Generation == 0 {
		httpreply.Error(writer, http.StatusNotFound, "no configuration yet")
		return
	}
	httpreply.Bytes(writer, http.StatusOK, "application/json", value.Body)
}
