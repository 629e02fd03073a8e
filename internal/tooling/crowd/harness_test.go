//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
)

// What the settings of the fleets grant each process. They are the bounds of every test.
const (
	memoryMB    = 96
	fileHandles = 600
)

// The limits of the configuration, and the network of the fleets.
const (
	bodyBytes   = 1 << 20
	headerBytes = 16 << 10
	network     = "127.0.93"
)

// What the ordinary caller does: so many tries, a pause between them, and so long for one.
const (
	callerTries   = 40
	callerPauseMs = 250
	callerTimeout = 5 * time.Second
)

// programs is the folder of the programs under test, built by TestMain.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "lemonarch-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", folder+"/", "lemonarch/cmd/gateway", "lemonarch/cmd/controller", "lemonarch/cmd/store")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err, string(output))
		return 1
	}
	programs = folder
	return m.Run()
}

// fleet is a small fleet under lowered limits.
type fleet struct{ *lab.Fleet }

func startFleet(t *testing.T) *fleet {
	t.Helper()

	plan := lab.NewPlan()
	plan.Label, plan.Programs, plan.Network = "crowd", programs, network
	plan.Gateways, plan.Controllers, plan.Stores, plan.Zones, plan.Workers, plan.Plain = 1, 1, 1, 1, 2, 2
	plan.MemoryMB, plan.FileHandles = memoryMB, fileHandles
	plan.Configuration = filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(plan.Configuration, []byte(configuration(1)), 0o644); err != nil {
		t.Fatal(err)
	}
	started, err := lab.Start(contexts.Background(), plan, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	return &fleet{started}
}

// configuration has a route of each kind that the tests call.
func configuration(generation int) string {
	route := `{"name":%q,"host":%q,"path-prefix":"/%s/","route-kind":%q,"backend":%q,"setpoint-ms":1000,"cutoff-ms":8000,"priority":0,"tries":2%s}`
	routes := []string{
		fmt.Sprintf(route, "status", lab.Host, "status", "idempotent", lab.PlainService, ""),
		fmt.Sprintf(route, "query", lab.Host, "query", "streaming", lab.ModelService, `,"affine":true,"resumable":true,"gap-setpoint-ms":500`),
		fmt.Sprintf(route, "batch", lab.Host, "batch", "bulk", lab.ModelService, `,"affine":true,"result-setpoint-ms":20000,"retain-s":60,"backlog-cap":0`),
	}
	return fmt.Sprintf(`{"generation":%d,"channels":[%s],"backends":[{"name":%q,"probe":%q,"conn-limit":200,"engine":{"capacity":8,"cache-tokens":60000}},`+
		`{"name":%q,"probe":%q,"conn-limit":200}],"limits":{"max-header-bytes":%d,"max-body-bytes":%d,"header-wait-ms":3000,"idle-ms":15000}}`,
		generation, strings.Join(routes, ","), lab.ModelService, lab.ProbePath, lab.PlainService, lab.ProbePath, headerBytes, bodyBytes)
}

// target is one process with the listener that a crowd calls.
type target struct {
	program, address string
	ports            []int
}

func (f *fleet) ingress() target {
	return target{"gateway-1", f.Plan.Ingress()[0], []int{constants.LabIngressPort, constants.LabReadyPort}}
}

func (f *fleet) readiness() target {
	return target{"gateway-1", f.Plan.Readiness()[0], []int{constants.LabIngressPort, constants.LabReadyPort}}
}

func (f *fleet) control() target {
	return target{"controller-1", f.Plan.Controls()[0], []int{constants.LabControlPort}}
}

// watch begins to watch a process of the fleet.
func (f *fleet) watch(t *testing.T, program, address string, ports ...int) *Watch {
	t.Helper()

	host, _, _ := strings.Cut(address, ":")
	watch, err := NewWatch(f.Card().Programs[program], host, ports...)
	if err != nil {
		t.Fatal(err)
	}
	return watch
}

// outlasts plays a crowd against a listener. While the crowd is still there, every listener must
// answer one ordinary request; then the process must still live, and must have stayed inside what
// its settings grant.
func (f *fleet) checkWithCrowd(t *testing.T, at target, members int, request Request) {
	t.Helper()

	crowd := &Crowd{Address: at.address, Members: members, Rounds: 2, Request: request}
	watches := map[string]*Watch{
		at.program: f.watch(t, at.program, at.address, at.ports...),
		"store-1":  f.watch(t, "store-1", network+"."+strconv.Itoa(constants.LabStoreHost)),
	}
	crowd.Start()
	crowd.AwaitSettled()
	t.Logf("settled: open=%d statuses=%v", crowd.Open(), crowd.Statuses())
	f.checkOrdinaryRequests(t)
	crowd.Close()
	select {
	case died := <-f.Died:
		t.Errorf("a process ended: %v", died)
	default:
	}
	for program, watch := range watches {
		checkPeakUsage(t, program, watch.Stop())
	}
}

func checkPeakUsage(t *testing.T, program string, cost PeakUsage) {
	t.Helper()

	const bound = memoryMB * 1_000_000
	t.Logf("%s: resident=%.1f MB unread=%.1f MB both=%.1f MB descriptors=%d", program, megabytes(cost.Resident), megabytes(cost.Unread), megabytes(cost.Combined), cost.Descriptors)
	if cost.Resident > bound || cost.Combined > bound {
		t.Errorf("%s used %.1f MB resident, %.1f MB with unread bytes; memory-mb is %d", program, megabytes(cost.Resident), megabytes(cost.Combined), memoryMB)
	}
	if cost.Descriptors > fileHandles {
		t.Errorf("%s had %d descriptors open; file-handles is %d", program, cost.Descriptors, fileHandles)
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }

// answersOrdinaryRequests makes one ordinary request at each listener.
func (f *fleet) checkOrdinaryRequests(t *testing.T) {
	t.Helper()

	edge := "http://" + f.Plan.Ingress()[0]
	f.checkServed(t, http.MethodPost, edge+"/status/1", bytes.Repeat([]byte("o"), 2<<10))
	f.checkServed(t, http.MethodPost, edge+"/status/2", bytes.Repeat([]byte("o"), 100<<10))
	f.checkServed(t, http.MethodGet, "http://"+f.Plan.Readiness()[0]+"/-/readiness", nil)
	f.checkServed(t, http.MethodGet, "http://"+f.Plan.Controls()[0]+"/-/Configuration.Read", nil)
}

// answers makes one ordinary request, again after a failure or a refusal, as the pages say that
// callers do: each try on a new connection with an id of its own.
func (f *fleet) checkServed(t *testing.T, method, url string, body []byte) {
	t.Helper()

	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for try := range callerTries {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = lab.Host
		request.Header.Set("Lemonarch-Attempt-Id", fmt.Sprintf("ordinary-%d-%d", len(body), try))
		resp, err := client.Do(request)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				t.Logf("%s answered at try %d", url, try+1)
				return
			}
			last = resp.Status
		} else {
			last = err.Error()
		}
		clock.Sleep(clock.Milliseconds(callerPauseMs))
	}
	t.Errorf("%s %s: no answer in %d tries: %s", method, url, callerTries, last)
}
