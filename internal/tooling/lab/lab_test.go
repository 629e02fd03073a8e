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
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/settings"
)

// programs makes a folder of programs out of shell scripts.
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

// ownNetwork gives addresses that no other run of the tests on this machine has: whoever
// holds the last one of them has them all, until the test is over.
func ownNetwork(t *testing.T) string {
	t.Helper()

	const tries = 1000
	for number := os.Getpid(); number < os.Getpid()+tries; number++ {
		network := fmt.Sprintf("127.%d.%d", 1+number/256%250, number%256)
		listener, err := net.Listen("tcp4", network+".254:7099")
		if err == nil {
			t.Cleanup(func() { listener.Close() })
			return network
		}
	}
	t.Skip("this machine has no such addresses")
	return ""
}

// Every process of every shape gets settings that the daemons take, and no two
// processes share an address.
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
				t.Fatal(target, nodeSettings, err)
			}
			addressesSeen[target.role+nodeSettings.Address] = true
			if budget := nodeSettings.FaultBudget.Machines; 2*budget+1 > min(plan.Controllers, plan.Stores) {
				t.Fatal("more may be lost than half of the set", budget)
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
		t.Fatal(findings)
	}
}

func TestInvalidPlans(t *testing.T) {
	for want, change := range map[string]func(plan *Plan){
		"gateways":     func(plan *Plan) { plan.Gateways = 0 },
		"controllers":  func(plan *Plan) { plan.Controllers = -1 },
		"stores":       func(plan *Plan) { plan.Stores = 0 },
		"workers":      func(plan *Plan) { plan.Workers = 1000 },
		"zones":        func(plan *Plan) { plan.Zones = 0 },
		"capacity":     func(plan *Plan) { plan.Capacity = 0 },
		"cache-tokens": func(plan *Plan) { plan.CacheTokens = 1 },
		"processes":    func(plan *Plan) { plan.Gateways = 39 },
		"network":      func(plan *Plan) { plan.Network = "10.1.1" },
		"no program":   func(plan *Plan) { plan.Programs = t.TempDir() },
	} {
		plan := NewPlan()
		plan.Programs = programs(t, "")
		change(&plan)
		if err := plan.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Error(want, err)
		}
	}
}

// A busy address is named before anything starts.
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
		t.Fatal(err)
	}
}

// A process that dies at the start is named with its last words, and the others are
// ended by their ids.
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
		t.Fatal(err)
	}
	// Stop waits for each child, so the addresses are free and a new start could begin.
	if err = plan.checkAddressesFree(); err != nil {
		t.Fatal(err)
	}
}

// A start that is called off ends what it has begun.
func TestCancelledStart(t *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(t), programs(t, "exec sleep 60")
	ctx, cancel := contexts.WithCancel(contexts.Background())
	cancel()
	fleet, err := Start(ctx, plan, t.TempDir())
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), "stopped") {
		t.Fatal(err)
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
			t.Fatal("still there", id)
		}
	}
	select {
	case err := <-failures:
		t.Fatal("what the lab ends itself is no death", err)
	default:
	}
}

// Each change goes on top of the one before, and a refusal is final.
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
			t.Fatal(generation, err)
		}
	}
	if strings.Join(bases, ",") != "0,1,2" || len(operator.routes()) != len(mustParse(t, plan.firstConfiguration()).Routes)+2 {
		t.Fatal(bases, operator.routes())
	}
	status = http.StatusPreconditionFailed
	if _, err := operator.addRoute(); err == nil {
		t.Fatal("a refusal passed for a success")
	} else if rejected := rejectedError(""); !errors.As(err, &rejected) {
		t.Fatal(err)
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
