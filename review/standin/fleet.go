// Command standin starts a small fleet of the project's programs on loopback addresses, with
// stand-ins for workers, operator and clients, and plays one case of the review against it.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the fleet; every machine has a loopback address of its own.
const (
	ingressPort   = 8144
	readinessPort = 8140
	controlPort   = 8146
	workerPort    = 8180
)

// errCannotRun is the error of a case that can't be played here.
var errCannotRun = errors.New("the case can't run")

// record is the file that tells what was sent, answered and run.
type record struct {
	lock    sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note writes one line with the seconds since the start.
func (r *record) note(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// process is one program of the project.
type process struct {
	name, program, settings, log string
	command                      *exec.Cmd
	ended                        chan struct{}
}

// fleet is the programs that run, on the addresses network.1 and on.
type fleet struct {
	network   string
	folder    string
	programs  string
	record    *record
	processes []*process
	base      int64
}

var zones = []string{"oslo-a", "oslo-b", "oslo-c"}

func (f *fleet) edge(i int) string  { return fmt.Sprintf("%s.%d", f.network, 11+i) }
func (f *fleet) store(i int) string { return fmt.Sprintf("%s.%d", f.network, 21+i) }
func (f *fleet) host(i int) string  { return fmt.Sprintf("%s.%d", f.network, 101+i) }

func (f *fleet) ingress(i int) string { return net.JoinHostPort(f.edge(i), fmt.Sprint(ingressPort)) }
func (f *fleet) control(i int) string { return net.JoinHostPort(f.edge(i), fmt.Sprint(controlPort)) }

// settings writes the settings of one process, with the figures of the small Fjordbok deployment.
func (f *fleet) settings(name, machine, class, address, serves, bind string, zone int, disk, first bool) (string, error) {
	seeds := make([]string, 3)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", f.control(i))
	}
	text := fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = [%q]
ip = %q
zone = %q
region = "oslo"
internal-ports = [7660,7675]
seeds = [%s]
bootstrap = %v
in-quorum = %v
heartbeat-ms = 1200
`, machine, name, class, serves, address, zones[zone], strings.Join(seeds, ","), first, disk)
	if disk {
		data := filepath.Join(f.folder, "data", name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
		text += fmt.Sprintf("data-dir = %q\n", data)
	}
	text += `[zones]
oslo-a = "oslo"
oslo-b = "oslo"
oslo-c = "oslo"
[bind-addresses]
` + bind + `[limits]
cpu-fraction = 0.8
cores = 1
memory-mb = 334
file-handles = 4100
bandwidth-mbps = 600.0
disk-mb = 580
[fault-budget]
machines = 1
zones = 0
regions = 0
[tolerances]
seed-delay-s = 3
address-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
sync-s = 5.1
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
converge-ms = 2000
revert-slack-ms = 250
outer-bound-ms = 5000
recovery-s = 12
step-ms = 120
completion-s = 10
status-s = 120
cancel-ms = 3000
settling-ms = 1000
quota-overshoot = 0.1
`
	path := filepath.Join(f.folder, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// start starts three controllers, three stores and three gateways on empty disks.
func (f *fleet) start() error {
	for i := range zones {
		machine := fmt.Sprintf("edge-%s-1", zones[i])
		bind := fmt.Sprintf("control = %q\n", f.control(i))
		if err := f.add(fmt.Sprintf("controller-%d", i+1), "controller", machine, "edge", f.edge(i), "controller", bind, i, true); err != nil {
			return err
		}
	}
	for i := range zones {
		machine := fmt.Sprintf("storage-%s-1", zones[i])
		if err := f.add(fmt.Sprintf("store-%d", i+1), "store", machine, "storage", f.store(i), "storage", "", i, true); err != nil {
			return err
		}
	}
	for i := range zones {
		machine := fmt.Sprintf("edge-%s-1", zones[i])
		bind := fmt.Sprintf("ingress = %q\nreadiness = %q\n", f.ingress(i), net.JoinHostPort(f.edge(i), fmt.Sprint(readinessPort)))
		if err := f.add(fmt.Sprintf("gateway-%d", i+1), "gateway", machine, "edge", f.edge(i), "edge", bind, i, false); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) add(name, program, machine, class, address, serves, bind string, zone int, disk bool) error {
	path, err := f.settings(name, machine, class, address, serves, bind, zone, disk, true)
	if err != nil {
		return err
	}
	p := &process{name: name, program: filepath.Join(f.programs, program), settings: path, log: filepath.Join(f.folder, name+".log")}
	f.processes = append(f.processes, p)
	return p.run()
}

func (p *process) run() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.program)
	p.command.Env = append(os.Environ(), "LEMONARCH_SETTINGS="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err = p.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), p.command
	p.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends a process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// named gives a process of the fleet.
func (f *fleet) named(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// stop ends all processes, each by its id.
func (f *fleet) stop() {
	for _, p := range f.processes {
		if p.ended != nil {
			p.kill()
		}
	}
}

// freeNetwork gives the first three bytes of loopback addresses at which nothing listens on the
// ports of a fleet.
func freeNetwork() (string, error) {
	for third := 83; third < 120; third++ {
		network := fmt.Sprintf("127.0.%d", third)
		if isFree(network) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free ports: %w", errCannotRun)
}

func isFree(network string) bool {
	for _, host := range []int{11, 12, 13, 21, 22, 23, 101, 102, 103} {
		for _, port := range []int{7660, 7661, 7662, ingressPort, readinessPort, controlPort, workerPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}
