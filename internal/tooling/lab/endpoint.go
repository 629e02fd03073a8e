package lab

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/tooling/workeremulator"
)

// FleetInfo describes a fleet to a load tool.
type FleetInfo struct {
	Label    string              `json:"label"`
	Ingress  []string            `json:"ingress"`
	Controls []string            `json:"controls"`
	Seed     string              `json:"seed"`
	Stride   int                 `json:"stride"`
	Routes   []routeconfig.Route `json:"routes"`
	Programs map[string]int      `json:"programs"`
	Workers  map[string]string   `json:"workers"`
}

// Runs lists the requests that the emulated workers ran.
type Runs struct {
	Runs []workeremulator.Run `json:"runs"`
	// Dropped is the number of runs that did not fit into the record any more.
	Dropped int `json:"dropped"`
	// Stops are the graceful stops of gateways so far.
	Stops []GatewayStop `json:"stops"`
	// Generations are the configurations that were acknowledged so far.
	Generations []AcknowledgedGeneration `json:"generations"`
}

// Info returns the description of the fleet.
func (f *Fleet) Info() FleetInfo {
	info := FleetInfo{Label: f.Plan.Label, Ingress: f.Plan.Ingress(), Controls: f.Plan.Controls(), Stride: f.Plan.shape().Stride,
		Routes: f.Routes(), Programs: map[string]int{}, Workers: map[string]string{},
		Seed: f.Plan.host(constants.LabEdgeHost, 0, constants.LabInternalPort+constants.PortController)}
	for _, proc := range f.processes {
		info.Programs[proc.node.name] = proc.id()
	}
	for _, slot := range f.workerSlots {
		info.Workers[slot.name] = slot.address
	}
	return info
}

// serveEndpoint starts the control endpoint on a loopback address.
func (f *Fleet) serveEndpoint() error {
	listener, err := net.Listen("tcp4", f.Plan.Endpoint())
	if err != nil {
		return ErrInvalidLab.New("control endpoint can't listen at " + f.Plan.Endpoint() + ": " + rootCause(err))
	}
	router := chi.NewRouter()
	router.Get("/fleet", func(writer http.ResponseWriter, _ *http.Request) { httpreply.JSON(writer, http.StatusOK, f.Info()) })
	router.Get("/runs", func(writer http.ResponseWriter, request *http.Request) {
		runs, dropped := f.record.WithPrefix(request.URL.Query().Get("prefix"))
		httpreply.JSON(writer, http.StatusOK, Runs{runs, dropped, f.gatewayStops(), f.operator.generations()})
	})
	router.Post("/trouble", func(writer http.ResponseWriter, request *http.Request) {
		var trouble Trouble
		reader := json.NewDecoder(http.MaxBytesReader(writer, request.Body, constants.HeadLimit))
		reader.DisallowUnknownFields()
		if err := reader.Decode(&trouble); err != nil {
			httpreply.Error(writer, http.StatusBadRequest, "trouble can't be read: "+err.Error())
			return
		}
		if err := f.InjectTrouble(trouble); err != nil {
			httpreply.Error(writer, http.StatusBadRequest, err.Error())
			return
		}
		httpreply.JSON(writer, http.StatusOK, struct{}{})
	})
	f.endpoint = newEndpoint(listener, router)
	return nil
}

// endpoint is an HTTP server that runs until it is closed.
type endpoint struct {
	server *http.Server
	served chan struct{}
}

func newEndpoint(listener net.Listener, handler http.Handler) *endpoint {
	created := &endpoint{server: &http.Server{Handler: handler, ReadHeaderTimeout: constants.LabGrace}, served: make(chan struct{})}
	go func() {
		defer close(created.served)
		_ = created.server.Serve(listener)
	}()
	return created
}

// close stops the server and waits until its address is free, even if it had not begun to serve.
func (e *endpoint) close() {
	_ = e.server.Close()
	<-e.served
}
