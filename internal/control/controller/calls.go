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

// bodySlack is how much larger a configuration may be than a request body.
const bodySlack = 4

// calls is the tree of matchers for workers and the operator.
func (controller *Controller) calls() http.Handler {
	tree := chi.NewRouter()
	tree.Post("/-/Workers.Heartbeat/{id}", controller.beat)
	tree.Post("/-/Workers.Depart/{id}", controller.depart)
	tree.Post("/-/Configuration.Replace", controller.replace)
	tree.Get("/-/Configuration.Read", controller.read)
	tree.Post("/-/Retire.Open/{node}", controller.retireOpen)
	tree.Get("/-/Retire.Read/{node}", controller.retireRead)
	return tree
}

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		httpreply.Reason(writer, http.StatusRequestEntityTooLarge, "body too large")
	} else {
		httpreply.Reason(writer, http.StatusBadRequest, "body cut short")
	}
	return nil, false
}

func (controller *Controller) retireOpen(writer http.ResponseWriter, request *http.Request) {
	if !controller.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := controller.Register.ReadSets()
	if err != nil {
		httpreply.Reason(writer, http.StatusGatewayTimeout, elsewhere)
		return
	}
	known := slices.Contains(value.Retired, name)
	var serving []string
	for _, entry := range controller.Node.All(membership.RoleStore) {
		known = known || entry.Name == name
		if entry.AgeMs < constants.SilentAfter.Milliseconds() && !entry.Leaving {
			serving = append(serving, entry.Name)
		}
	}
	for _, member := range value.Stores {
		known = known || member.Name == name
	}
	if !known && clock.Now().Since(controller.begun) < constants.SilentAfter {
		// A process that has just started can't tell unknown from not yet heard.
		httpreply.Reason(writer, http.StatusServiceUnavailable, elsewhere)
		return
	}
	if !known {
		httpreply.Reason(writer, http.StatusNotFound, "no such storage machine")
		return
	}
	// The count is part of the change: another order may be taken meanwhile.
	var result register.Result
	_, err = controller.Register.Change(register.RetireStore(name, serving, controller.setSize(), &result))
	switch {
	case err != nil:
		httpreply.Reason(writer, http.StatusGatewayTimeout, err.Error())
	case result == register.ResultTooFew:
		httpreply.Reason(writer, http.StatusConflict, "too few would be left")
	default:
		controller.Node.Log.Info("retire opened", "node", name)
		httpreply.JSON(writer, http.StatusOK, struct{}{})
	}
}

func (controller *Controller) retireRead(writer http.ResponseWriter, request *http.Request) {
	if !controller.requireContact(writer) {
		return
	}
	name := chi.URLParam(request, "node")
	value, err := controller.Register.ReadSets()
	if err != nil {
		httpreply.Reason(writer, http.StatusGatewayTimeout, elsewhere)
		return
	}
	if !slices.Contains(value.Retired, name) {
		httpreply.Reason(writer, http.StatusNotFound, "not being retired")
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
