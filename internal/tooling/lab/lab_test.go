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
func programs(test *testing.T, script string) string {
	folder := test.TempDir()
	for _, name := range []string{"gateway", "controller", "store"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte("#!/bin/sh\n"+script+"\n"), 0o755); err != nil {
			test.Fatal(err)
		}
	}
	return folder
}

// ownNetwork gives addresses that no other run of the tests on this machine has: whoever
// holds the last one of them has them all, until the test is over.
func ownNetwork(test *testing.T) string {
	const tries = 1000
	for number := os.Getpid(); number < os.Getpid()+tries; number++ {
		network := fmt.Sprintf("127.%d.%d", 1+number/256%250, number%256)
		claim, err := net.Listen("tcp4", network+".254:7099")
		if err == nil {
			test.Cleanup(func() { claim.Close() })
			return network
		}
	}
	test.Skip("this machine has no such addresses")
	return ""
}

// Every process of every shape gets settings that the daemons take, and no two
// processes share an address.
func TestSettingsAreTaken(test *testing.T) {
	for _, counts := range [][4]int{{1, 1, 1, 1}, {2, 3, 3, 2}, {5, 9, 4, 3}, {1, 5, 7, 9}} {
		plan := NewPlan()
		plan.Gateways, plan.Controllers, plan.Stores, plan.Zones = counts[0], counts[1], counts[2], counts[3]
		folder := test.TempDir()
		seen := map[string]bool{}
		for _, one := range plan.nodes() {
			path, err := plan.write(one, folder, true)
			if err != nil {
				test.Fatal(err)
			}
			nodeSettings, err := settings.LoadFile(path)
			if err != nil || nodeSettings.NodeName != one.machine || nodeSettings.Zone != one.zone || seen[one.role+nodeSettings.Address] {
				test.Fatal(one, nodeSettings, err)
			}
			seen[one.role+nodeSettings.Address] = true
			if budget := nodeSettings.FaultBudget.Machines; 2*budget+1 > min(plan.Controllers, plan.Stores) {
				test.Fatal("more may be lost than half of the set", budget)
			}
		}
	}
}

func TestFirstConfigurationIsValid(test *testing.T) {
	plan := NewPlan()
	checker, err := configcheck.New()
	if err != nil {
		test.Fatal(err)
	}
	if _, findings := checker.Check(plan.firstConfiguration()); len(findings) > 0 {
		test.Fatal(findings)
	}
}

func TestPlansThatCanNotBe(test *testing.T) {
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
		"no program":   func(plan *Plan) { plan.Programs = test.TempDir() },
	} {
		plan := NewPlan()
		plan.Programs = programs(test, "")
		change(&plan)
		if err := plan.Check(); err == nil || !strings.Contains(err.Error(), want) {
			test.Error(want, err)
		}
	}
}

// A busy address is named before anything starts.
func TestBusyAddressIsNamed(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(test), programs(test, "exec sleep 60")
	busy := plan.Ingress()[1]
	listener, err := net.Listen("tcp4", busy)
	if err != nil {
		test.Fatal(err)
	}
	defer listener.Close()
	fleet, err := Start(contexts.Background(), plan, test.TempDir())
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), busy) {
		test.Fatal(err)
	}
}

// A process that dies at the start is named with its last words, and the others are
// ended by their ids.
func TestDyingChildEndsTheStart(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(test), programs(test, "exec sleep 60")
	dying := filepath.Join(plan.Programs, "store")
	if err := os.WriteFile(dying, []byte("#!/bin/sh\necho first words\necho the disk is gone\nexit 3\n"), 0o755); err != nil {
		test.Fatal(err)
	}
	folder := test.TempDir()
	fleet, err := Start(contexts.Background(), plan, folder)
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), "store-") || !strings.Contains(err.Error(), "the disk is gone") {
		test.Fatal(err)
	}
	// Stop waits for each child, so the addresses are free and a new start could begin.
	if err = plan.free(); err != nil {
		test.Fatal(err)
	}
}

// A start that is called off ends what it has begun.
func TestStartThatIsCalledOff(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(test), programs(test, "exec sleep 60")
	called, halt := contexts.Stoppable(contexts.Background())
	halt()
	fleet, err := Start(called, plan, test.TempDir())
	if err == nil {
		fleet.Stop()
	}
	if err == nil || !strings.Contains(err.Error(), "stopped") {
		test.Fatal(err)
	}
	if err = plan.free(); err != nil {
		test.Fatal(err)
	}
}

func TestStoppedProcessesAreGone(test *testing.T) {
	plan := NewPlan()
	plan.Programs = programs(test, "exec sleep 60")
	died := make(chan error, 4)
	for _, end := range []func(*process){(*process).stop, (*process).kill} {
		one := newProcess(&plan, plan.nodes()[0], test.TempDir(), newStarter())
		if err := one.run(func(err error) { died <- err }); err != nil {
			test.Fatal(err)
		}
		id := one.id()
		end(one)
		if _, err := os.Stat("/proc/" + strconv.Itoa(id)); err == nil {
			test.Fatal("still there", id)
		}
	}
	select {
	case err := <-died:
		test.Fatal("what the lab ends itself is no death", err)
	default:
	}
}

// Each change goes on top of the one before, and a refusal is final.
func TestOperatorBuildsOnTheLast(test *testing.T) {
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
	if err := operator.first(plan.firstConfiguration()); err != nil {
		test.Fatal(err)
	}
	for next := int64(2); next < 4; next++ {
		if generation, err := operator.addRoute(); err != nil || generation != next {
			test.Fatal(generation, err)
		}
	}
	if strings.Join(bases, ",") != "0,1,2" || len(operator.routes()) != len(mustParse(test, plan.firstConfiguration()).Routes)+2 {
		test.Fatal(bases, operator.routes())
	}
	status = http.StatusPreconditionFailed
	if _, err := operator.addRoute(); err == nil {
		test.Fatal("a refusal passed for a success")
	} else if final := refused(""); !errors.As(err, &final) {
		test.Fatal(err)
	}
}

func mustParse(test *testing.T, body []byte) *routeconfig.Config {
	config, err := routeconfig.Parse(body)
	if err != nil {
		test.Fatal(err)
	}
	return config
}
