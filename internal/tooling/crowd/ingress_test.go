//go:build crowd

package crowd

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/tooling/lab"
)

// Each test runs one kind of misbehaving client against the ingress (issue 33).

// crowdMembers is the number of clients in most tests: their bodies together are four times the
// memory that the settings allow.
const crowdMembers = 400

// smallChunksBytes is the number of bytes of a body that are sent in chunks of one byte, each of
// which takes six bytes on the wire.
const smallChunksBytes = 320 << 10

// post returns a request on a route with a body of the largest allowed length.
func post(route string, framing Framing) Request {
	return Request{Method: http.MethodPost, Path: "/" + route + "/1", Host: lab.Host, Framing: framing, Announced: bodyBytes, Bytes: bodyBytes,
		Headers: []string{"Lemonarch-Attempt-Id: crowd-{attempt}", "Lemonarch-Model: " + lab.ModelName, "Lemonarch-Token-Count: 500,20"}}
}

// stopShort makes a request send all but the last 10 bytes of its body and stay open.
func stopShort(request Request) Request {
	request.Bytes, request.StayOpen = bodyBytes-10, true
	return request
}

func TestIngressOutlastsWholeBodies(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, post("status", FramingLength))
}

func TestIngressOutlastsWholePrompts(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, post("query", FramingLength))
}

func TestIngressOutlastsBodiesThatStopShort(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, stopShort(post("status", FramingLength)))
}

func TestIngressOutlastsJobsThatStopShort(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, stopShort(post("batch", FramingLength)))
}

func TestIngressOutlastsBodiesInPieces(t *testing.T) {
	f := startFleet(t)
	request := stopShort(post("status", FramingLength))
	request.PieceBytes, request.PauseMs = 32<<10, 20
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

// TestIngressOutlastsTricklingBodies sends bodies that must not be treated as stalled, since 1,000
// further bytes arrive after the first part, one every 50 ms.
func TestIngressOutlastsTricklingBodies(t *testing.T) {
	f := startFleet(t)
	request := post("status", FramingLength)
	request.Bytes, request.StayOpen, request.TrickleBytes, request.TrickleMs = bodyBytes-2000, true, 1000, 50
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

func TestIngressOutlastsAnnouncedBodiesOverTheLimit(t *testing.T) {
	f := startFleet(t)
	request := post("status", FramingLength)
	request.Announced, request.Bytes, request.StayOpen = 1<<40, 4*bodyBytes, true
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

func TestIngressOutlastsSentBodiesOverTheLimit(t *testing.T) {
	f := startFleet(t)
	request := post("status", FramingChunked)
	request.ChunkBytes, request.Bytes, request.StayOpen = 64<<10, 4*bodyBytes, true
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

func TestIngressOutlastsLargeChunks(t *testing.T) {
	f := startFleet(t)
	request := stopShort(post("status", FramingChunked))
	request.ChunkBytes, request.Bytes = 256<<10, bodyBytes-256<<10
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

func TestIngressOutlastsSmallChunks(t *testing.T) {
	f := startFleet(t)
	request := stopShort(post("status", FramingChunked))
	request.ChunkBytes, request.Bytes = 1, smallChunksBytes
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

// TestIngressOutlastsBodiesWithoutARoute sends bodies that nothing in the gateway reads, since there is
// no route for the request. (TestReadinessOutlastsBodies does the same with a call that takes no body.)
func TestIngressOutlastsBodiesWithoutARoute(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, stopShort(post("nowhere", FramingLength)))
}

// manyHeaders returns many short header lines, in all nearly as long as limit.
func manyHeaders(limit int) []string {
	var lines []string
	for number, length := 0, 0; length < limit-512; number++ {
		line := fmt.Sprintf("h%x: ", number)
		lines, length = append(lines, line), length+len(line)+2
	}
	return lines
}

func TestIngressOutlastsHeadsThatStopShort(t *testing.T) {
	f := startFleet(t)
	request := post("status", FramingNone)
	request.Headers, request.HeadOnly, request.StayOpen = manyHeaders(headerBytes), true, true
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

func TestIngressOutlastsSilentConnections(t *testing.T) {
	f := startFleet(t)
	f.checkWithCrowd(t, f.ingress(), 2*fileHandles, Request{Silent: true, StayOpen: true})
}

// job returns a batch job whose items fill a body of the largest allowed length.
func job(items int) []byte {
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), (bodyBytes/items-200)*3/4))
	lines := make([]string, 0, items)
	for number := range items {
		lines = append(lines, fmt.Sprintf(`{"id":"i%d","path":"/batch/%d","headers":{"Lemonarch-Model":"lab-model","Lemonarch-Token-Count":"9000,9000"},"body":%q,"tokens":1}`, number, number, body))
	}
	return []byte(`{"requests":[` + strings.Join(lines, ",") + `]}`)
}

// TestStoreOutlastsWholeJobs sends complete batch jobs, all of which are accepted: their contents must
// fit into the memory of the store.
func TestStoreOutlastsWholeJobs(t *testing.T) {
	f := startFleet(t)
	request := post("batch", FramingLength)
	request.Content = job(8)
	request.Announced, request.Bytes = int64(len(request.Content)), int64(len(request.Content))
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}

// TestStoreOutlastsJobsOfTooManyItems sends batch jobs of allowed length with far more items than a job
// may have.
func TestStoreOutlastsJobsOfTooManyItems(t *testing.T) {
	f := startFleet(t)
	request := post("batch", FramingLength)
	request.Content = []byte(`{"requests":[` + strings.Repeat("{},", (bodyBytes-20)/3) + `{}]}`)
	request.Announced, request.Bytes = int64(len(request.Content)), int64(len(request.Content))
	f.checkWithCrowd(t, f.ingress(), crowdMembers/4, request)
}

// TestIngressOutlastsPromptsOfManyParts sends prompt prefixes of as many parts as fit into a head. The
// first part is unique, so that no two prompts share a prefix.
func TestIngressOutlastsPromptsOfManyParts(t *testing.T) {
	f := startFleet(t)
	request := post("query", FramingLength)
	request.Announced, request.Bytes = 0, 0
	parts := strings.Repeat(",a:1", (headerBytes-512)/len(",a:1"))
	request.Headers = append(request.Headers, "Lemonarch-Prompt-Prefix: {attempt}:1"+parts)
	f.checkWithCrowd(t, f.ingress(), crowdMembers, request)
}
