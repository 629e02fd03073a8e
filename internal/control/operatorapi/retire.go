package operatorapi

import (
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// handleRetireOpen starts the retirement of a storage machine.
func (a *API) handleRetireOpen(writer http.ResponseWriter, request *http.Request) {
	if !a.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := a.replica.ReadSets()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, contactserver.NoClearAnswer)
		return
	}
	known := slices.Contains(value.Retired, name)
	var serving []string
	for _, info := range a.node.All(membership.RoleStore) {
		known = known || info.Name == name
		if info.AgeMs < constants.SuspectAfter.Milliseconds() && !info.Draining {
			serving = append(serving, info.Name)
		}
	}
	for _, member := range value.Stores {
		known = known || member.Name == name
	}
	if !known && clock.Now().Sub(a.node.StartedAt) < constants.SuspectAfter {
		// A process that has just started can't distinguish an unknown machine from one that has not yet
		// been in contact.
		httpreply.Error(writer, http.StatusServiceUnavailable, contactserver.NoClearAnswer)
		return
	}
	if !known {
		httpreply.Error(writer, http.StatusNotFound, "no such storage machine")
		return
	}
	// The number of remaining stores is checked within the change, since another retirement may be
	// accepted in the meantime.
	var result register.Result
	_, err = a.replica.Change(register.RetireStore(name, serving, a.sets.SetSize(), &result))
	switch {
	case err != nil:
		httpreply.Error(writer, http.StatusGatewayTimeout, err.Error())
	case result == register.ResultTooFewStores:
		httpreply.Error(writer, http.StatusConflict, "too few would be left")
	default:
		a.node.Log.Info("retirement of storage machine started", "node", name)
		httpreply.JSON(writer, http.StatusOK, struct{}{})
	}
}

// handleRetireRead responds with the phase of a storage machine's retirement: "active" while the machine is
// in the store set, "settled" once it is not.
func (a *API) handleRetireRead(writer http.ResponseWriter, request *http.Request) {
	if !a.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := a.replica.ReadSets()
	if err != nil {
		httpreply.Error(writer, http.StatusGatewayTimeout, contactserver.NoClearAnswer)
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
