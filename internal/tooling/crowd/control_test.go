//go:build crowd

package crowd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/tooling/lab"
)

// Each test runs one kind of misbehaving client against the listeners for workers, operators and
// the platform (issue 33).

// replace is a call of Configuration.Replace with a body of the largest length that a client may
// send.
func replace(framing Framing) Request {
	return Request{Method: http.MethodPost, Path: "/-/Configuration.Replace", Host: "control", Framing: framing, Announced: bodyBytes, Bytes: bodyBytes,
		Headers: []string{"Lemonarch-Base-Revision: 1", "Content-Type: application/json"}}
}

func TestControlOutlastsWholeConfigurations(t *testing.T) {
	f := startFleet(t)
	request := replace(FramingLength)
	request.Content = []byte(configuration(1))
	padding := strings.Repeat(" ", bodyBytes-len(request.Content))
	request.Content = append(request.Content, padding...)
	f.checkWithCrowd(t, f.control(), crowdMembers, request)
}

func TestControlOutlastsBodiesThatStopShort(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.control(), crowdMembers, stopShort(replace(FramingLength)))
}

func TestControlOutlastsBodiesOverTheLimit(t *testing.T) {
	f := startFleet(t)
	request := replace(FramingChunked)
	request.ChunkBytes, request.Bytes, request.StayOpen = 64<<10, 32*bodyBytes, true
	f.checkWithCrowd(t, f.control(), 64, request)
}

func TestControlOutlastsSmallChunks(t *testing.T) {
	f := startFleet(t)
	request := stopShort(replace(FramingChunked))
	request.ChunkBytes, request.Bytes = 1, smallChunksBytes
	f.checkWithCrowd(t, f.control(), crowdMembers, request)
}

func TestControlOutlastsHeartbeatsThatStopShort(t *testing.T) {
	f := startFleet(t)
	request := stopShort(replace(FramingLength))
	request.Path, request.Announced, request.Bytes = "/-/Workers.Heartbeat/w", 60<<10, 50<<10
	f.checkWithCrowd(t, f.control(), crowdMembers, request)
}

func TestControlOutlastsHeadsThatStopShort(t *testing.T) {
	f := startFleet(t)
	request := replace(FramingNone)
	request.Headers, request.HeadOnly, request.StayOpen = manyHeaders(512<<10), true, true
	f.checkWithCrowd(t, f.control(), crowdMembers, request)
}

func TestControlOutlastsSilentConnections(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.control(), 2*fileHandles, Request{Silent: true, StayOpen: true})
}

// TestControlOutlastsDeepConfigurations sends bodies that cost far more to check than to send: deeply
// nested JSON.
func TestControlOutlastsDeepConfigurations(t *testing.T) {
	f := startFleet(t)
	request := replace(FramingLength)
	request.Content = []byte(strings.Repeat("[", bodyBytes))
	f.checkWithCrowd(t, f.control(), crowdMembers/8, request)
}

// TestControlOutlastsConfigurationsOfManyRoutes sends bodies that cost far more to check than to send:
// many different routes, all with the same errors.
func TestControlOutlastsConfigurationsOfManyRoutes(t *testing.T) {
	f := startFleet(t)
	var routes []string
	for number, length := 0, 0; length < bodyBytes-1024; number++ {
		route := fmt.Sprintf(`{"name":"r%d","host":%q,"path-prefix":"p%d","route-kind":"none"}`, number, lab.Host, number)
		routes, length = append(routes, route), length+len(route)+1
	}
	request := replace(FramingLength)
	request.Content = []byte(`{"generation":2,"channels":[` + strings.Join(routes, ",") + `],"backends":[]}`)
	request.Announced, request.Bytes = int64(len(request.Content)), int64(len(request.Content))
	f.checkWithCrowd(t, f.control(), 8, request)
}

func TestReadinessOutlastsHeadsThatStopShort(t *testing.T) {
	f := startFleet(t)
	request := Request{Method: http.MethodGet, Path: "/-/readiness", Host: "ready", Headers: manyHeaders(512 << 10), HeadOnly: true, StayOpen: true}
	f.checkWithCrowd(t, f.readiness(), crowdMembers, request)
}

func TestReadinessOutlastsBodies(t *testing.T) {
	f := startFleet(t)
	request := stopShort(replace(FramingLength))
	request.Path = "/-/readiness"
	f.checkWithCrowd(t, f.readiness(), crowdMembers, request)
}

func TestReadinessOutlastsSilentConnections(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.readiness(), 2*fileHandles, Request{Silent: true, StayOpen: true})
}
