package sawhorse

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"lemonarch/internal/boot"
	"lemonarch/internal/caliper"
	"lemonarch/internal/errand"
	"lemonarch/internal/jig"
)

// programs makes a folder of programs out of shell scripts.
func programs(test *testing.T, script string) string {
	folder := test.TempDir()
	for _, name := range []string{"forge", "foreman", "locker"} {
		if failure := os.WriteFile(filepath.Join(folder, name), []byte("#!/bin/sh\n"+script+"\n"), 0o755); failure != nil {
			test.Fatal(failure)
		}
	}
	return folder
}

// ownNetwork gives addresses that no other run of the tests on this machine has.
func ownNetwork(number int) string {
	return fmt.Sprintf("127.%d.%d", 1+(os.Getpid()/10)%250, 10*(os.Getpid()%10)+number%10)
}

// Every process of every shape gets settings that the daemons take, and no two
// processes share an address.
func TestSettingsAreTaken(test *testing.T) {
	for _, counts := range [][4]int{{1, 1, 1, 1}, {2, 3, 3, 2}, {5, 9, 4, 3}, {1, 5, 7, 9}} {
		plan := NewPlan()
		plan.Forges, plan.Foremen, plan.Lockers, plan.Zones = counts[0], counts[1], counts[2], counts[3]
		folder := test.TempDir()
		seen := map[string]bool{}
		for _, one := range plan.nodes() {
			path, failure := plan.write(one, folder, true)
			if failure != nil {
				test.Fatal(failure)
			}
			settings, failure := boot.LoadFile(path)
			if failure != nil || settings.NodeName != one.machine || settings.Hall != one.hall || seen[one.role+settings.Address] {
				test.Fatal(one, settings, failure)
			}
			seen[one.role+settings.Address] = true
			if budget := settings.FaultBudget.Machines; 2*budget+1 > min(plan.Foremen, plan.Lockers) {
				test.Fatal("more may be lost than half of the set", budget)
			}
		}
	}
}

func TestFirstConfigurationIsValid(test *testing.T) {
	plan := NewPlan()
	checker, failure := caliper.New()
	if failure != nil {
		test.Fatal(failure)
	}
	if _, findings := checker.Check(plan.firstConfiguration()); len(findings) > 0 {
		test.Fatal(findings)
	}
}

func TestPlansThatCanNotBe(test *testing.T) {
	for want, change := range map[string]func(plan *Plan){
		"forges":       func(plan *Plan) { plan.Forges = 0 },
		"foremen":      func(plan *Plan) { plan.Foremen = -1 },
		"lockers":      func(plan *Plan) { plan.Lockers = 0 },
		"workers":      func(plan *Plan) { plan.Workers = 1000 },
		"zones":        func(plan *Plan) { plan.Zones = 0 },
		"capacity":     func(plan *Plan) { plan.Capacity = 0 },
		"cache-tokens": func(plan *Plan) { plan.CacheTokens = 1 },
		"processes":    func(plan *Plan) { plan.Forges = 39 },
		"network":      func(plan *Plan) { plan.Network = "10.1.1" },
		"no program":   func(plan *Plan) { plan.Programs = test.TempDir() },
	} {
		plan := NewPlan()
		plan.Programs = programs(test, "")
		change(&plan)
		if failure := plan.Check(); failure == nil || !strings.Contains(failure.Error(), want) {
			test.Error(want, failure)
		}
	}
}

// A busy address is named before anything starts.
func TestBusyAddressIsNamed(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(211), programs(test, "exec sleep 60")
	busy := plan.Ingress()[1]
	listener, failure := net.Listen("tcp4", busy)
	if failure != nil {
		test.Skip("this machine has no such address: " + failure.Error())
	}
	defer listener.Close()
	fleet, failure := Start(errand.Background(), plan, test.TempDir())
	if failure == nil {
		fleet.Stop()
	}
	if failure == nil || !strings.Contains(failure.Error(), busy) {
		test.Fatal(failure)
	}
}

// A process that dies at the start is named with its last words, and the others are
// ended by their ids.
func TestDyingChildEndsTheStart(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(212), programs(test, "exec sleep 60")
	dying := filepath.Join(plan.Programs, "locker")
	if failure := os.WriteFile(dying, []byte("#!/bin/sh\necho first words\necho the disk is gone\nexit 3\n"), 0o755); failure != nil {
		test.Fatal(failure)
	}
	folder := test.TempDir()
	probe, failure := net.Listen("tcp4", plan.Desk())
	if failure != nil {
		test.Skip("this machine has no such address: " + failure.Error())
	}
	probe.Close()
	fleet, failure := Start(errand.Background(), plan, folder)
	if failure == nil {
		fleet.Stop()
	}
	if failure == nil || !strings.Contains(failure.Error(), "locker-") || !strings.Contains(failure.Error(), "the disk is gone") {
		test.Fatal(failure)
	}
	// Stop waits for each child, so the addresses are free and a new start could begin.
	if failure = plan.free(); failure != nil {
		test.Fatal(failure)
	}
}

// A start that is called off ends what it has begun.
func TestStartThatIsCalledOff(test *testing.T) {
	plan := NewPlan()
	plan.Network, plan.Programs = ownNetwork(213), programs(test, "exec sleep 60")
	if probe, failure := net.Listen("tcp4", plan.Desk()); failure != nil {
		test.Skip("this machine has no such address: " + failure.Error())
	} else {
		probe.Close()
	}
	called, halt := errand.Stoppable(errand.Background())
	halt()
	fleet, failure := Start(called, plan, test.TempDir())
	if failure == nil {
		fleet.Stop()
	}
	if failure == nil || !strings.Contains(failure.Error(), "stopped") {
		test.Fatal(failure)
	}
	if failure = plan.free(); failure != nil {
		test.Fatal(failure)
	}
}

func TestStoppedProcessesAreGone(test *testing.T) {
	plan := NewPlan()
	plan.Programs = programs(test, "exec sleep 60")
	died := make(chan error, 4)
	for _, end := range []func(*process){(*process).stop, (*process).kill} {
		one := newProcess(&plan, plan.nodes()[0], test.TempDir(), newStarter())
		if failure := one.run(func(failure error) { died <- failure }); failure != nil {
			test.Fatal(failure)
		}
		id := one.id()
		end(one)
		if _, failure := os.Stat("/proc/" + strconv.Itoa(id)); failure == nil {
			test.Fatal("still there", id)
		}
	}
	select {
	case failure := <-died:
		test.Fatal("what the lab ends itself is no death", failure)
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
	if failure := operator.first(plan.firstConfiguration()); failure != nil {
		test.Fatal(failure)
	}
	for next := int64(2); next < 4; next++ {
		if generation, failure := operator.change(addRoute); failure != nil || generation != next {
			test.Fatal(generation, failure)
		}
	}
	if strings.Join(bases, ",") != "0,1,2" || len(operator.routes()) != len(mustParse(test, plan.firstConfiguration()).Routes)+2 {
		test.Fatal(bases, operator.routes())
	}
	status = http.StatusPreconditionFailed
	if _, failure := operator.change(addRoute); failure == nil {
		test.Fatal("a refusal passed for a success")
	} else if _, final := failure.(refused); !final {
		test.Fatal(failure)
	}
}

func mustParse(test *testing.T, body []byte) *jig.Config {
	config, failure := jig.Parse(body)
	if failure != nil {
		test.Fatal(failure)
	}
	return config
}
