package sawhorse

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/jig"
	"lemonarch/internal/reply"
)

// Card tells a load tool what it needs to know of a fleet.
type Card struct {
	Label    string            `json:"label"`
	Ingress  []string          `json:"ingress"`
	Controls []string          `json:"controls"`
	Seed     string            `json:"seed"`
	Stride   int               `json:"stride"`
	Routes   []jig.Route       `json:"routes"`
	Programs map[string]int    `json:"programs"`
	Workers  map[string]string `json:"workers"`
}

// Runs is what the emulated workers ran.
type Runs struct {
	Runs []anvil.Run `json:"runs"`
	// Dropped counts runs that no longer fitted into the record.
	Dropped int `json:"dropped"`
}

// Card gives the fleet's card.
func (fleet *Fleet) Card() Card {
	card := Card{Label: fleet.Plan.Label, Ingress: fleet.Plan.Ingress(), Controls: fleet.Plan.Controls(), Stride: fleet.Plan.shape().Stride,
		Routes: fleet.Routes(), Programs: map[string]int{}, Workers: map[string]string{},
		Seed: fleet.Plan.host(almanac.LabEdgeHost, 0, almanac.LabInternalPort+almanac.PortForeman)}
	for _, one := range fleet.processes {
		card.Programs[one.node.name] = one.id()
	}
	for _, one := range fleet.places {
		card.Workers[one.name] = one.address
	}
	return card
}

// serveDesk opens the desk, on loopback like everything else.
func (fleet *Fleet) serveDesk() error {
	listener, failure := net.Listen("tcp4", fleet.Plan.Desk())
	if failure != nil {
		return Unfit.New("desk at " + fleet.Plan.Desk() + ": " + lastWords(failure))
	}
	tree := chi.NewRouter()
	tree.Get("/fleet", func(writer http.ResponseWriter, _ *http.Request) { reply.JSON(writer, http.StatusOK, fleet.Card()) })
	tree.Get("/runs", func(writer http.ResponseWriter, request *http.Request) {
		runs, dropped := fleet.record.Of(request.URL.Query().Get("prefix"))
		reply.JSON(writer, http.StatusOK, Runs{runs, dropped})
	})
	tree.Post("/trouble", func(writer http.ResponseWriter, request *http.Request) {
		var trouble Trouble
		reader := json.NewDecoder(http.MaxBytesReader(writer, request.Body, almanac.HeadLimit))
		reader.DisallowUnknownFields()
		if failure := reader.Decode(&trouble); failure != nil {
			reply.Reason(writer, http.StatusBadRequest, "trouble can't be read: "+failure.Error())
			return
		}
		if failure := fleet.Trouble(trouble); failure != nil {
			reply.Reason(writer, http.StatusBadRequest, failure.Error())
			return
		}
		reply.JSON(writer, http.StatusOK, struct{}{})
	})
	fleet.desk = &http.Server{Handler: tree, ReadHeaderTimeout: almanac.LabGrace}
	go func() { _ = fleet.desk.Serve(listener) }()
	return nil
}
