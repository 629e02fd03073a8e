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

// The limits that the settings of the fleets set for each process. A test fails if the process under
// attack or the store exceeds them.
const (
	memoryMB    = 96
	fileHandles = 600
)

// The limits in the configuration, and the network of the fleets.
const (
	bodyBytes   = 1 << 20
	headerBytes = 16 << 10
	network     = "127.0.93"
)

// The ordinary caller's number of attempts, the pause between them and the timeout of one attempt.
const (
	callerAttempts = 40
	callerPauseMs  = 250
	callerTimeout  = 5 * time.Second
)

// programs is the folder of the programs under test, which TestMain builds.
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

// fleet is a small fleet with low limits.
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

// configuration returns a configuration with a route of each kind that the tests call.
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

// target is a process with the address of the listener that a crowd calls. ports are all ports of
// the process whose unread bytes are counted.
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

// watch starts to watch a process of the fleet.
func (f *fleet) watch(t *testing.T, program, address string, ports ...int) *Watch {
	t.Helper()

	host, _, _ := strings.Cut(address, ":")
	watch, err := NewWatch(f.Info().Programs[program], host, ports...)
	if err != nil {
		t.Fatal(err)
	}
	return watch
}

// checkWithCrowd runs a crowd against a listener. While the crowd is connected, every listener must
// serve ordinary requests. Afterwards no process of the fleet may have ended, and neither the
// listener's process nor the store may have exceeded the limits in its settings.
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
	case failure := <-f.Failed:
		t.Errorf("a process ended during the test: %v", failure)
	default:
	}
	for program, watch := range watches {
		checkPeakUsage(t, program, watch.Stop())
	}
}

func checkPeakUsage(t *testing.T, program string, usage PeakUsage) {
	t.Helper()

	const bound = memoryMB * 1_000_000
	t.Logf("%s: resident=%.1f MB unread=%.1f MB combined=%.1f MB descriptors=%d", program, megabytes(usage.Resident), megabytes(usage.Unread), megabytes(usage.Combined), usage.Descriptors)
	if usage.Resident > bound || usage.Combined > bound {
		t.Errorf("%s used %.1f MB resident and %.1f MB with unread bytes, want at most memory-mb = %d", program, megabytes(usage.Resident), megabytes(usage.Combined), memoryMB)
	}
	if usage.Descriptors > fileHandles {
		t.Errorf("%s had %d open descriptors, want at most file-handles = %d", program, usage.Descriptors, fileHandles)
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }

// checkOrdinaryRequests sends ordinary requests to each listener and fails the test if one is not
// served.
func (f *fleet) checkOrdinaryRequests(t *testing.T) {
	t.Helper()

	gateway := "http://" + f.Plan.Ingress()[0]
	f.checkServed(t, http.MethodPost, gateway+"/status/1", bytes.Repeat([]byte("o"), 2<<10))
	f.checkServed(t, http.MethodPost, gateway+"/status/2", bytes.Repeat([]byte("o"), 100<<10))
	f.checkServed(t, http.MethodGet, "http://"+f.Plan.Readiness()[0]+"/-/readiness", nil)
	f.checkServed(t, http.MethodGet, "http://"+f.Plan.Controls()[0]+"/-/Configuration.Read", nil)
}

// checkServed sends one ordinary request and retries it after a failure or a rejection, as the
// documentation requires of callers: each attempt is on a new connection with an id of its own.
func (f *fleet) checkServed(t *testing.T, method, url string, body []byte) {
	t.Helper()

	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	lastResult := ""
	for attempt := range callerAttempts {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = lab.Host
		request.Header.Set("Lemonarch-Attempt-Id", fmt.Sprintf("ordinary-%d-%d", len(body), attempt))
		resp, err := client.Do(request)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				t.Logf("%s answered at try %d", url, attempt+1)
				return
			}
			lastResult = resp.Status
		} else {
			lastResult = err.Error()
		}
		clock.Sleep(clock.Milliseconds(callerPauseMs))
	}
	t.Errorf("%s %s: no 200 response in %d attempts, last result: %s", method, url, callerAttempts, lastResult)
}
