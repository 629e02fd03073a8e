package controller

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

const headerBase = "Lemonarch-Base-Revision"

// bodyLimitFactor is how much larger a configuration may be than a request body.
const bodyLimitFactor = 4

// calls is the tree of matchers for workers and the operator.
func (c *Controller) calls() http.Handler {
	tree := chi.NewRouter()
	tree.Post("/-/Workers.Heartbeat/{id}", c.handleHeartbeat)
	tree.Post("/-/Workers.Depart/{id}", c.handleDepart)
	tree.Post("/-/Configuration.Replace", c.handleReplace)
	tree.Get("/-/Configuration.Read", c.handleRead)
	tree.Post("/-/Retire.Open/{node}", c.handleRetireOpen)
	tree.Get("/-/Retire.Read/{node}", c.handleRetireRead)
	return tree
}

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		httpreply.Error(writer, http.StatusRequestEntityTooLarge, "body too large")
	} else {
		httpreply.Error(writer, http.StatusBadRequest, "body cut short")
	}
	return nil, false
}

func (c *Controller) handleRetireOpen(writer http.ResponseWriter, request *http.Request) {
	if !c.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := c.Register.ReadSets()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, noClearAnswer)
		return
	}
	known := slices.Contains(value.Retired, name)
	var serving []string
	for _, entry := range c.Node.All(membership.RoleStore) {
		known = known || entry.Name == name
		if entry.AgeMs < constants.SuspectAfter.Milliseconds() && !entry.Draining {
			serving = append(serving, entry.Name)
		}
	}
	for _, member := range value.Stores {
		known = known || member.Name == name
	}
	if !known && clock.Now().Sub(c.startedAt) < constants.SuspectAfter {
		// A process that has just started can't tell unknown from not yet heard.
		httpreply.Error(writer, http.StatusServiceUnavailable, noClearAnswer)
		return
	}
	if !known {
		httpreply.Error(writer, http.StatusNotFound, "no such storage machine")
		return
	}
	// The count is part of the change: another order may be taken meanwhile.
	var result register.Result
	_, err = c.Register.Change(register.RetireStore(name, serving, c.setSize(), &result))
	switch {
	case err != nil:
		httpreply.Error(writer, http.StatusGatewayTimeout, err.Error())
	case result == register.ResultTooFewStores:
		httpreply.Error(writer, http.StatusConflict, "too few would be left")
	default:
		c.Node.Log.Info("retire opened", "node", name)
		httpreply.JSON(writer, http.StatusOK, struct{}{})
	}
}

func (c *Controller) handleRetireRead(writer http.ResponseWriter, request *http.Request) {
	if !c.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := c.Register.ReadSets()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, noClearAnswer)
		return
	}
	if !slices.Contains(value.Retired, name) {
		httpreply.Error(writer, http.StatusNotFound, "not being retired")
		return
	}
	phase := "settled"
	for _, member := range value.Stores {
		if member.Name == name {
			phase = "active"
		}
	}
	httpreply.JSON(writer, http.StatusOK, map[string]string{"phase": phase})
}
