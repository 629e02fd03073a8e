package maquette

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/watch"
)

// realFleet is what runs.
type realFleet struct {
	plan     RealPlan
	folder   string
	children []*exec.Cmd
	roles    []string
	ended    chan string
	client   http.Client
}

// machineAddress gives a machine's loopback address; each has one of its own, so that
// all may use the same ports.
func machineAddress(machine int) string {
	return fmt.Sprintf("127.77.%d.%d", machine/200, machine%200+1)
}

// the ports of every machine.
const (
	portInternal = 17000
	portIngress  = 17020
	portReady    = 17021
	portControl  = 17022
)

// PlayReal starts the programs, measures them at rest, and ends every one of them.
func PlayReal(plan RealPlan, progress io.Writer) (*RealResult, error) {
	folder, failure := os.MkdirTemp("", "hollow")
	if failure != nil {
		return nil, Unstarted.Wrap(failure, "folder")
	}
	defer os.RemoveAll(folder)
	fleet := &realFleet{plan: plan, folder: folder, ended: make(chan string, realLimit), client: http.Client{Timeout: watch.Milliseconds(3000)}}
	defer fleet.end()
	if failure = fleet.start(); failure != nil {
		return nil, failure
	}
	stop := make(chan struct{})
	defer close(stop)
	if failure = fleet.configure(); failure != nil {
		return nil, failure
	}
	go watch.Every(watch.Milliseconds(1000), stop, fleet.beat)
	fmt.Fprintf(progress, "real processes=%d settling-s=%.0f counting-s=%.0f\n", len(fleet.children), plan.SettleS, plan.CountS)
	if failure = fleet.pause(plan.SettleS); failure != nil {
		return nil, failure
	}
	before := fleet.spent()
	if failure = fleet.pause(plan.CountS); failure != nil {
		return nil, failure
	}
	result := fleet.sumUp(before, fleet.spent())
	result.FrameUs, failure = WireCost()
	return result, failure
}

// pause waits, unless a child dies.
func (fleet *realFleet) pause(forS float64) error {
	select {
	case <-watch.After(seconds(forS)):
		return nil
	case name := <-fleet.ended:
		return Unstarted.New(name + " ended by itself")
	}
}

func (fleet *realFleet) settings(machine int, role string) string {
	var seeds []string
	for seed := 0; seed < fleet.plan.Foremen; seed++ {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(machineAddress(seed), fmt.Sprint(portControl))))
	}
	own := machineAddress(machine)
	serves := map[string]string{bellows.RoleForge: "edge", bellows.RoleForeman: "controller", bellows.RoleLocker: "storage"}[role]
	return fmt.Sprintf(`node-name = "node-%03d"
zone = "zone-%d"
ip = %q
internal-ports = [%d, %d]
seeds = [%s]
bootstrap = true
data-dir = %q
heartbeat-ms = 1000
serves = [%q]
[bind-addresses]
ingress = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
memory-mb = 184
[fault-budget]
machines = 1
zones = 1
[tolerances]
grace-s = 4
status-s = 40
`, machine, machine%max(fleet.plan.Foremen, 1), own, portInternal, portInternal+10, strings.Join(seeds, ", "),
		filepath.Join(fleet.folder, role+fmt.Sprint(machine)), serves, own, portIngress, own, portReady, own, portControl)
}

func (fleet *realFleet) start() error {
	for machine := 0; machine < fleet.plan.Forges+fleet.plan.Lockers; machine++ {
		roles := []string{bellows.RoleForge}
		if machine >= fleet.plan.Forges {
			roles = []string{bellows.RoleLocker}
		}
		if machine < fleet.plan.Foremen {
			roles = append(roles, bellows.RoleForeman)
		}
		for _, role := range roles {
			path := filepath.Join(fleet.folder, fmt.Sprintf("%s-%d.toml", role, machine))
			if failure := os.WriteFile(path, []byte(fleet.settings(machine, role)), 0o600); failure != nil {
				return Unstarted.Wrap(failure, "settings")
			}
			child := exec.Command(filepath.Join(fleet.plan.Programs, role))
			child.Env = append(os.Environ(), boot.Variable+"="+path)
			if failure := child.Start(); failure != nil {
				return Unstarted.Wrap(failure, role)
			}
			fleet.children, fleet.roles = append(fleet.children, child), append(fleet.roles, role)
			go func() {
				_ = child.Wait()
				fleet.ended <- fmt.Sprintf("%s of machine %d", role, machine)
			}()
		}
	}
	return nil
}

// end kills every child, and waits for none longer than the kernel takes.
func (fleet *realFleet) end() {
	for _, child := range fleet.children {
		_ = child.Process.Kill()
	}
	for range fleet.children {
		select {
		case <-fleet.ended:
		case <-watch.After(seconds(2)):
		}
	}
}

func (fleet *realFleet) call(foreman int, path string, body []byte, header string) error {
	request, failure := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", machineAddress(foreman), portControl, path), bytes.NewReader(body))
	if failure != nil {
		return failure
	}
	if header != "" {
		request.Header.Set("Lemonarch-Base-Revision", header)
	}
	answer, failure := fleet.client.Do(request)
	if failure != nil {
		return failure
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		return Unstarted.New(path + " was answered by " + answer.Status)
	}
	return nil
}

// configure hands the first configuration in, as soon as the foremen take it.
func (fleet *realFleet) configure() error {
	body := []byte(`{"generation":1,"channels":[{"name":"r","host":"a.example","path-prefix":"/","route-kind":"idempotent","cutoff-ms":2000,"setpoint-ms":300,"backend":"m","tries":2}],"backends":[{"name":"m","conn-limit":500}],"limits":{"max-header-bytes":65536,"max-body-bytes":4194304,"header-wait-ms":3000,"idle-ms":10000}}`)
	var failure error
	for range 40 {
		if failure = fleet.call(0, "/-/Configuration.Replace", body, "0"); failure == nil {
			return nil
		}
		if pause := fleet.pause(0.25); pause != nil {
			return pause
		}
	}
	return Unstarted.Wrap(failure, "first configuration")
}

// beat is one round of heartbeats of all workers.
func (fleet *realFleet) beat() {
	now := watch.Wall()
	for worker := 0; worker < fleet.plan.Workers; worker++ {
		body, _ := json.Marshal(map[string]any{"backend": "m", "address": fmt.Sprintf("127.78.%d.%d:9000", worker/200, worker%200+1), "zone": "zone-0",
			"capacity": 16, "phase": "steady", "call-count": now})
		_ = fleet.call(worker%fleet.plan.Foremen, fmt.Sprintf("/-/Workers.Heartbeat/worker-%04d", worker), body, "")
	}
}
