package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"lemonarch/internal/configuration/configcheck"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/settings"
)

// programs creates a folder in which every program is the given shell script.
func programs(t *testing.T, script string) string {
	t.Helper()

	folder := t.TempDir()
	for _, name := range []string{"gateway", "controller", "store"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte("#!/bin/sh\n"+script+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// ownNetwork returns a network that no other test run on this machine uses. The run that listens on the
// network's last address owns all of its addresses until the test ends.
func ownNetwork(t *testing.T) string {
	t.Helper()

	const attempts = 1000
	for number := os.Getpid(); number < os.Getpid()+attempts; number++ {
		network := fmt.Sprintf("127.%d.%d", 1+number/256%250, number%256)
		listener, err := net.Listen("tcp4", network+".254:7099")
		if err == nil {
			t.Cleanup(func() { listener.Close() })
			return network
		}
	}
	t.Skip("no free loopback network on this machine")
	return ""
}

// TestSettingsAreValid checks that every process of plans of several sizes gets settings that the daemons
// accept, and that no two processes of a role share an address.
func TestSettingsAreValid(t *testing.T) {
	for _, counts := range [][4]int{{1, 1, 1, 1}, {2, 3, 3, 2}, {5, 9, 4, 3}, {1, 5, 7, 9}} {
		plan := NewPlan()
		plan.Gateways, plan.Controllers, plan.Stores, plan.Zones = counts[0], counts[1], counts[2], counts[3]
		folder := t.TempDir()
		addressesSeen := map[string]bool{}
		for _, target := range plan.nodes() {
			path, err := plan.writeSettings(target, folder, true)
			if err != nil {
				t.Fatal(err)
			}
			nodeSettings, err := settings.LoadFile(path)
			if err != nil || nodeSettings.NodeName != target.machine || nodeSettings.Zone != target.zone || addressesSeen[target.role+nodeSettings.Address] {
				t.Fatalf("process %+v: got settings %+v, error %v; want its machine and zone, and an address of its own", target, nodeSettings, err)
			}
			addressesSeen[target.role+nodeSettings.Address] = true
			if budget := nodeSettings.FaultBudget.Machines; 2*budget+1 > min(plan.Controllers, plan.Stores) {
				t.Fatalf("fault budget is %d, want less than half of the smaller of %d controllers and %d stores", budget, plan.Controllers, plan.Stores)
			}
		}
	}
}

func TestFirstConfigurationIsValid(t *testing.T) {
	plan := NewPlan()
	checker, err := configcheck.New()
	if err != nil {
		t.Fatal(err)
	}
	if _, findings := checker.Check(plan.firstConfiguration()); len(findings) > 0 {
		t.Fatalf("first configuration has findings %v, want none", findings)
	}
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for want, change := range map[string]func(plan *Plan){
		"gateways":     func(plan *Plan) { plan.Gateways = 0 },
		"controllers":  func(plan *Plan) { plan.Controllers = -1 },
		"stores":       func(plan *Plan) { plan.Stores = 0 },
		"workers":      func(plan *Plan) { plan.Workers = 1000 },
		"zones":        func(plan *Plan) { plan.Zones = 0 },
		"capacity":     func(plan *Plan) { plan.Capacity = 0 },
		"cache-tokens": func(plan *Plan) { plan.CacheTokens = 1 },
		"processes":    func(plan *Plan) { plan.Gateways = constants.LabProcesses - 1 },
		"network":      func(plan *Plan) { plan.Network = "10.1.1" },
		"no program":   func(plan *Plan) { plan.Programs = t.TempDir() },
	} {
		plan := NewPlan()
		plan.Programs = programs(t, "")
		change(&plan)
		if err := plan.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// TestBusyAddressIsReported checks that the error of a start names an address in use, before anything is
// started.
func TestBusyAddressIsReported(t *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(t), programs(t, "exec sleep 60")
	busy := plan.Ingress()[1]
	listener, err := net.Listen("tcp4", busy)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	fleet, err := Start(contexts.Background(), plan, t.TempDir())
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), busy) {
		t.Fatalf("got error %v, want one that names the address %s", err, busy)
	}
}

// TestExitedChildFailsStart checks that, if a process exits during the start, the error contains its name
// and the last line of its log. Start stops the other processes by their ids before it returns, so that the
// addresses of the fleet are free by then.
func TestExitedChildFailsStart(t *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(t), programs(t, "exec sleep 60")
	dying := filepath.Join(plan.Programs, "store")
	if err := os.WriteFile(dying, []byte("#!/bin/sh\necho first words\necho the disk is gone\nexit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	fleet, err := Start(contexts.Background(), plan, folder)
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), "store-") || !strings.Contains(err.Error(), "the disk is gone") {
		t.Fatalf("got error %v, want one with the name of a store and the last line of its log", err)
	}
	// Stop waits for each child, so the addresses are free for a new start.
	if err = plan.checkAddressesFree(); err != nil {
		t.Fatal(err)
	}
}

// TestCancelledStartIsStopped checks that a start whose context is cancelled returns an error and leaves
// the addresses of the fleet free.
func TestCancelledStartIsStopped(t *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(t), programs(t, "exec sleep 60")
	ctx, cancel := contexts.WithCancel(contexts.Background())
	cancel()
	fleet, err := Start(ctx, plan, t.TempDir())
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), "stopped") {
		t.Fatalf("got error %v, want one that says that the start was stopped", err)
	}
	if err = plan.checkAddressesFree(); err != nil {
		t.Fatal(err)
	}
}

func TestStoppedProcessesEnd(t *testing.T) {
	plan := NewPlan()
	plan.Programs = programs(t, "exec sleep 60")
	failures := make(chan error, 4)
	for _, endProcess := range []func(*process){(*process).stop, (*process).kill} {
		target := newProcess(&plan, plan.nodes()[0], t.TempDir(), newStarter())
		if err := target.run(func(err error) { failures <- err }); err != nil {
			t.Fatal(err)
		}
		id := target.id()
		endProcess(target)
		if _, err := os.Stat("/proc/" + strconv.Itoa(id)); err == nil {
			t.Fatalf("process %d still exists after it was stopped", id)
		}
	}
	select {
	case err := <-failures:
		t.Fatalf("a process stopped by the lab was reported as a failure: %v", err)
	default:
	}
}

// TestOperatorSendsNextGeneration checks that each change is based on the previous generation, and that a
// rejection is returned as a rejectedError, after which a start does not retry.
func TestOperatorSendsNextGeneration(t *testing.T) {
	var bases, bodies []string
	status := http.StatusOK
	control := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body := make([]byte, 1<<16)
		count, _ := request.Body.Read(body)
		bases, bodies = append(bases, request.Header.Get("Lemonarch-Base-Revision")), append(bodies, string(body[:count]))
		writer.WriteHeader(status)
	}))
	defer control.Close()
	plan := NewPlan()
	operator := operator{controls: []string{control.Listener.Addr().String()}}
	if err := operator.sendFirst(plan.firstConfiguration()); err != nil {
		t.Fatal(err)
	}
	for next := int64(2); next < 4; next++ {
		if generation, err := operator.addRoute(); err != nil || generation != next {
			t.Fatalf("got generation %d, error %v; want generation %d", generation, err, next)
		}
	}
	if strings.Join(bases, ",") != "0,1,2" || len(operator.routes()) != len(mustParse(t, plan.firstConfiguration()).Routes)+2 {
		t.Fatalf("got base revisions %v, want 0, 1 and 2; got routes %+v, want the first ones and two more", bases, operator.routes())
	}
	status = http.StatusPreconditionFailed
	if _, err := operator.addRoute(); err == nil {
		t.Fatal("a rejected configuration was reported as accepted")
	} else if rejected := rejectedError(""); !errors.As(err, &rejected) {
		t.Fatalf("got error %v, want a rejectedError", err)
	}
}

func mustParse(t *testing.T, body []byte) *routeconfig.Config {
	t.Helper()

	config, err := routeconfig.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	return config
}
