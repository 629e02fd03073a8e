package hollowfleet

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

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
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
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, ErrNotStarted.Wrap(err, "folder")
	}
	// What can't be removed stays in the folder for temporary files.
	defer func() { _ = os.RemoveAll(folder) }()
	fleet := &realFleet{plan: plan, folder: folder, ended: make(chan string, realLimit), client: http.Client{Timeout: clock.Milliseconds(3000)}}
	defer fleet.end()
	if err = fleet.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if err = fleet.configure(); err != nil {
		return nil, err
	}
	go clock.Every(clock.Milliseconds(1000), stop, fleet.beat)
	fmt.Fprintf(progress, "real processes=%d settling-s=%.0f counting-s=%.0f\n", len(fleet.children), plan.SettleS, plan.CountS)
	if err = fleet.pause(plan.SettleS); err != nil {
		return nil, err
	}
	before := fleet.spent()
	if err = fleet.pause(plan.CountS); err != nil {
		return nil, err
	}
	result := fleet.sumUp(before, fleet.spent())
	result.FrameUs, err = WireCost()
	return result, err
}

// pause waits, unless a child dies.
func (r *realFleet) pause(forS float64) error {
	select {
	case <-clock.After(seconds(forS)):
		return nil
	case name := <-r.ended:
		return ErrNotStarted.New(name + " ended by itself")
	}
}

func (r *realFleet) nodeSettings(machine int, role string) string {
	var seeds []string
	for seed := 0; seed < r.plan.Controllers; seed++ {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(machineAddress(seed), fmt.Sprint(portControl))))
	}
	own := machineAddress(machine)
	serves := map[string]string{membership.RoleGateway: "edge", membership.RoleController: "controller", membership.RoleStore: "storage"}[role]
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
`, machine, machine%max(r.plan.Controllers, 1), own, portInternal, portInternal+10, strings.Join(seeds, ", "),
		filepath.Join(r.folder, role+fmt.Sprint(machine)), serves, own, portIngress, own, portReady, own, portControl)
}

func (r *realFleet) start() error {
	for machine := 0; machine < r.plan.Gateways+r.plan.Stores; machine++ {
		roles := []string{membership.RoleGateway}
		if machine >= r.plan.Gateways {
			roles = []string{membership.RoleStore}
		}
		if machine < r.plan.Controllers {
			roles = append(roles, membership.RoleController)
		}
		for _, role := range roles {
			path := filepath.Join(r.folder, fmt.Sprintf("%s-%d.toml", role, machine))
			if err := os.WriteFile(path, []byte(r.nodeSettings(machine, role)), 0o600); err != nil {
				return ErrNotStarted.Wrap(err, "settings")
			}
			child := exec.Command(filepath.Join(r.plan.Programs, constants.RoleName(role)))
			child.Env = append(os.Environ(), settings.PathVariable+"="+path)
			if err := child.Start(); err != nil {
				return ErrNotStarted.Wrap(err, role)
			}
			r.children, r.roles = append(r.children, child), append(r.roles, constants.RoleName(role))
			go func() {
				_ = child.Wait()
				r.ended <- fmt.Sprintf("%s of machine %d", role, machine)
			}()
		}
	}
	return nil
}

// end kills every child, and waits for none longer than the kernel takes.
func (r *realFleet) end() {
	for _, child := range r.children {
		_ = child.Process.Kill()
	}
	for range r.children {
		select {
		case <-r.ended:
		case <-clock.After(seconds(2)):
		}
	}
}

func (r *realFleet) call(controller int, path string, body []byte, header string) error {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", machineAddress(controller), portControl, path), bytes.NewReader(body))
	if err != nil {
		return err
	}
	if header != "" {
		request.Header.Set("Lemonarch-Base-Revision", header)
	}
	resp, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return ErrNotStarted.New(path + " was answered by " + resp.Status)
	}
	return nil
}

// configure hands the first configuration in, as soon as the controllers take it.
func (r *realFleet) configure() error {
	config := routeconfig.Config{
		Generation: 1,
		Routes: []routeconfig.Route{{Name: "r", Host: "a.example", Prefix: "/", KindName: "idempotent", CutoffMs: 2000, SetpointMs: 300,
			Backend: realService, MaxAttempts: 2}},
		Services: []routeconfig.Service{{Name: realService, ConnLimit: 500}},
		Limits:   routeconfig.Limits{HeaderBytes: 65536, BodyBytes: 4 << 20, HeaderWaitMs: 3000, IdleMs: 10000},
	}
	body := config.Encode()
	var err error
	for range 40 {
		if err = r.call(0, "/-/Configuration.Replace", body, "0"); err == nil {
			return nil
		}
		if backoff := r.pause(0.25); backoff != nil {
			return backoff
		}
	}
	return ErrNotStarted.Wrap(err, "first configuration")
}

// realService is the service of the workers that beat.
const realService = "m"

// heartbeat is a worker's call.
type heartbeat struct {
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	Phase    string `json:"phase"`
	Count    int64  `json:"call-count"`
}

// beat is one round of heartbeats of all workers.
func (r *realFleet) beat() {
	now := clock.WallNanos()
	for worker := 0; worker < r.plan.Workers; worker++ {
		body, _ := json.Marshal(heartbeat{Backend: realService, Address: fmt.Sprintf("127.78.%d.%d:9000", worker/200, worker%200+1),
			Zone: "zone-0", Capacity: 16, Phase: "steady", Count: now})
		_ = r.call(worker%r.plan.Controllers, fmt.Sprintf("/-/Workers.Heartbeat/worker-%04d", worker), body, "")
	}
}
