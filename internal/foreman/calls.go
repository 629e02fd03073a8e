package foreman

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/reply"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

const headerBase = "Lemonarch-Base-Revision"

// bodySlack is how much larger a configuration may be than a request body.
const bodySlack = 4

// calls is the tree of matchers for workers and the operator.
func (foreman *Foreman) calls() http.Handler {
	tree := chi.NewRouter()
	tree.Post("/-/Workers.Heartbeat/{id}", foreman.beat)
	tree.Post("/-/Workers.Depart/{id}", foreman.depart)
	tree.Post("/-/Configuration.Replace", foreman.replace)
	tree.Get("/-/Configuration.Read", foreman.read)
	tree.Post("/-/Retire.Open/{node}", foreman.retireOpen)
	tree.Get("/-/Retire.Read/{node}", foreman.retireRead)
	return tree
}

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, failure := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if failure == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(failure, &tooLarge) {
		reply.Reason(writer, http.StatusRequestEntityTooLarge, "body too large")
	} else {
		reply.Reason(writer, http.StatusBadRequest, "body cut short")
	}
	return nil, false
}

func (foreman *Foreman) replace(writer http.ResponseWriter, request *http.Request) {
	body, whole := readBody(writer, request, bodySlack*almanac.RequestLimit)
	if !whole {
		return
	}
	base, failure := strconv.ParseInt(request.Header.Get(headerBase), 10, 64)
	if failure != nil || base < 0 {
		reply.Reason(writer, http.StatusBadRequest, headerBase+" is missing or no number")
		return
	}
	foreman.checking.Lock()
	config, findings := foreman.caliper.Check(body)
	foreman.checking.Unlock()
	if len(findings) > 0 {
		foreman.Stand.Log.Info("configuration refused", "why", findings[0])
		reply.JSON(writer, http.StatusBadRequest, map[string]any{"error": findings[0], "findings": findings})
		return
	}
	version := pattern.Version{Generation: config.Generation, Base: base, Hash: jig.Hash(body)}
	var outcome vise.Outcome
	value, failure := foreman.Register.Change(vise.Replace(version, body, &outcome))
	stands := func() bool { return outcome == vise.OutcomeTaken || outcome == vise.OutcomeAlready }
	for end := watch.Now().Plus(almanac.CallTime); failure == nil && stands() && !foreman.bears(&value); {
		if watch.Now() > end {
			reply.Reason(writer, http.StatusGatewayTimeout, "the set of acceptors is still growing")
			return
		}
		// It stands, yet two losses could take it away again: told only once the set
		// is whole, which takes the value along.
		watch.Sleep(almanac.TickPeriod)
		value, failure = foreman.Register.Change(vise.Replace(version, body, &outcome))
	}
	if failure != nil {
		// Not in force for certain only without a second round; both are 5xx, and
		// neither is a refusal.
		foreman.Stand.Log.Warn("configuration unclear", "generation", config.Generation, "why", failure.Error())
		reply.Reason(writer, http.StatusGatewayTimeout, failure.Error())
		return
	}
	foreman.chosen(value, stands())
	switch outcome {
	case vise.OutcomeTaken, vise.OutcomeAlready:
		foreman.Stand.Log.Info("configuration acknowledged", "generation", config.Generation)
		reply.JSON(writer, http.StatusOK, map[string]int64{"generation": config.Generation})
	case vise.OutcomeOther:
		reply.Reason(writer, http.StatusPreconditionFailed, "another version is in place: "+strconv.FormatInt(value.Current.Generation, 10))
	default:
		reply.Reason(writer, http.StatusBadRequest, "generation is not above the current one")
	}
}

func (foreman *Foreman) read(writer http.ResponseWriter, _ *http.Request) {
	value, failure := foreman.Register.Read()
	if failure != nil {
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
		return
	}
	if value.Current.Generation == 0 {
		reply.Reason(writer, http.StatusNotFound, "no configuration yet")
		return
	}
	reply.Bytes(writer, http.StatusOK, "application/json", value.Body)
}

func (foreman *Foreman) retireOpen(writer http.ResponseWriter, request *http.Request) {
	name := chi.URLParam(request, "node")
	value, failure := foreman.Register.ReadSets()
	if failure != nil {
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
		return
	}
	retired := map[string]bool{}
	for _, one := range value.Retired {
		retired[one] = true
	}
	known, left := retired[name], 0
	for _, entry := range foreman.Stand.All(bellows.RoleLocker) {
		live := entry.AgeMs < almanac.SilentAfter.Milliseconds() && !entry.Leaving
		if entry.Name == name {
			known = true
		} else if live && !retired[entry.Name] {
			left++
		}
	}
	for _, member := range value.Stores {
		known = known || member.Name == name
	}
	switch {
	case !known && watch.Now().Since(foreman.begun) < almanac.SilentAfter:
		// A process that has just started can't tell unknown from not yet heard.
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
	case !known:
		reply.Reason(writer, http.StatusNotFound, "no such storage machine")
	case !retired[name] && left < foreman.setSize():
		reply.Reason(writer, http.StatusConflict, "too few would be left")
	default:
		if _, failure = foreman.Register.Change(vise.Retire(name)); failure != nil {
			reply.Reason(writer, http.StatusGatewayTimeout, failure.Error())
			return
		}
		foreman.Stand.Log.Info("retire opened", "node", name)
		reply.JSON(writer, http.StatusOK, struct{}{})
	}
}

func (foreman *Foreman) retireRead(writer http.ResponseWriter, request *http.Request) {
	name := chi.URLParam(request, "node")
	value, failure := foreman.Register.ReadSets()
	if failure != nil {
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
		return
	}
	asked := false
	for _, one := range value.Retired {
		asked = asked || one == name
	}
	if !asked {
		reply.Reason(writer, http.StatusNotFound, "not being retired")
		return
	}
	phase := "settled"
	for _, member := range value.Stores {
		if member.Name == name {
			phase = "active"
		}
	}
	reply.JSON(writer, http.StatusOK, map[string]string{"phase": phase})
}
