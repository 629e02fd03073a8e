//go:build review

// Command standin-2 plays the scripted cases 6 to 10 of the review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for the platform, the operator, the workers
// and the clients, and writes down what was sent, answered and run.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine. Each machine has a loopback address of its own.
const (
	portIngress   = 8144
	portReadiness = 8140
	portControl   = 8146
	portInternal  = 7660
)

// machine is one machine of the deployment; it runs one or two processes.
type machine struct {
	name, class, zone, ip string
	processes             []*process
}

// process is one process of a machine, started by a command of the deploy file.
type process struct {
	role, run, serves string
	machine           *machine
	fleet             *fleet
	dataDir           string
	memoryMB          int
	lock              sync.Mutex
	command           *exec.Cmd
	exited            chan struct{}
	starts            int
}

// fleet is the deployment under test.
type fleet struct {
	root, folder, network string
	record                *record
	machines              []*machine
	seeds                 []string
	zones                 []string
}

// record is the protocol of a run, written to record.txt.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// add writes one line with the time since the start of the run in seconds.
func (r *record) add(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// freeNetwork returns the first three bytes of loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for attempt := 0; attempt < 100; attempt++ {
		network := fmt.Sprintf("127.%d.%d", 90+attempt%100, 1+(os.Getpid()+attempt)%250)
		free := true
		for _, port := range []int{portIngress, portReadiness, portControl, portInternal, portInternal + 1, portInternal + 2} {
			listener, err := net.Listen("tcp4", network+".11:"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// newFleet lays out a deployment like the small one of the site file: a core machine (gateway and controller) for
// each zone, further machines with a gateway alone, and storage machines.
func newFleet(record *record, zones, edges, stores int) (*fleet, error) {
	root, err := filepath.Abs(".")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, network: network, record: record}
	for i := 0; i < zones; i++ {
		f.zones = append(f.zones, "zone-"+string(rune('a'+i)))
	}
	add := func(class, name string, i, host int, roles ...[3]string) {
		m := &machine{name: name, class: class, zone: f.zones[i%zones], ip: fmt.Sprintf("%s.%d", network, host)}
		for _, role := range roles {
			p := &process{role: role[0], run: role[1], serves: role[2], machine: m, fleet: f, memoryMB: 284}
			if class == "storage" {
				p.memoryMB = 324
			}
			if role[0] != "gateway" {
				p.dataDir = filepath.Join(folder, "data", name, role[0])
			}
			m.processes = append(m.processes, p)
		}
		f.machines = append(f.machines, m)
	}
	gateway := [3]string{"gateway", "target/gateway", "edge"}
	controller := [3]string{"controller", "target/controller", "controller"}
	for i := 0; i < zones; i++ {
		add("edge", fmt.Sprintf("edge-%c-1", 'a'+i), i, 11+i, gateway, controller)
	}
	for i := 0; i < edges; i++ {
		add("edge", fmt.Sprintf("edge-%c-2", 'a'+i), i, 31+i, gateway)
	}
	for i := 0; i < stores; i++ {
		add("storage", fmt.Sprintf("storage-%c-1", 'a'+i), i, 61+i, [3]string{"store", "target/store", "storage"})
	}
	for i := 0; i < min(3, zones); i++ {
		f.seeds = append(f.seeds, fmt.Sprintf("%s.%d:%d", network, 11+i, portControl))
	}
	return f, nil
}

// settingsText returns the settings file of a process.
func (p *process) settingsText(bootstrap bool) string {
	f, m := p.fleet, p.machine
	quote := func(list []string) string { return `["` + strings.Join(list, `","`) + `"]` }
	var text strings.Builder
	line := func(format string, arguments ...any) { fmt.Fprintf(&text, format+"\n", arguments...) }
	line("node-name = %q\nrole = %q\nmachine-class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"bayern\"", m.name, p.role, m.class, p.serves, m.ip, m.zone)
	line("internal-ports = [%d,%d]\nseeds = %s\nbootstrap = %v\nin-quorum = %v", portInternal, portInternal+15, quote(f.seeds), bootstrap, p.dataDir != "")
	if p.dataDir != "" {
		line("data-dir = %q", p.dataDir)
	}
	line("discovery = \"registration\"\nentry-point = \"virtual_ip\"\nheartbeat-ms = 1200")
	line("[zones]")
	for _, zone := range f.zones {
		line("%s = \"bayern\"", zone)
	}
	line("[bind-addresses]")
	switch p.role {
	case "gateway":
		line("ingress = \"%s:%d\"\nreadiness = \"%s:%d\"", m.ip, portIngress, m.ip, portReadiness)
	case "controller":
		line("control = \"%s:%d\"", m.ip, portControl)
	}
	line("[limits]\ncpu-fraction = 0.72\ncores = 1\nmemory-mb = %d\nfile-handles = 4100\nbandwidth-mbps = 1000.0", p.memoryMB)
	switch p.role {
	case "controller":
		line("disk-mb = 64")
	case "store":
		line("disk-mb = 500")
	}
	line("[fault-budget]\nmachines = 1\nzones = 0\nregions = 0")
	line("[tolerances]\nseed-delay-s = 3\naddress-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\nsync-s = 5\ndrain-ms = 2000\ngrace-s = 8")
	line("loss-slack-ms = 200\nconverge-ms = 2000\nrevert-slack-ms = 250\nouter-bound-ms = 5000\nrecovery-s = 12\nstep-ms = 120")
	line("completion-s = 10\nstatus-s = 120\ncancel-ms = 3000\nsettling-ms = 1000\nquota-overshoot = 0.1")
	return text.String()
}

// start starts the process, with the settings of this moment.
func (p *process) start() error {
	if p.dataDir != "" {
		if err := os.MkdirAll(p.dataDir, 0o755); err != nil {
			return err
		}
	}
	name := p.machine.name + "-" + p.role
	path := filepath.Join(p.fleet.folder, name+".toml")
	if err := os.WriteFile(path, []byte(p.settingsText(p.starts == 0)), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.fleet.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	fields := strings.Fields(p.run)
	command := exec.Command(filepath.Join(p.fleet.root, fields[0]), fields[1:]...)
	command.Dir, command.Stdout, command.Stderr = p.fleet.root, output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LEMONARCH_SETTINGS=" + path, "LEMONARCH_LOG=" + os.Getenv("LEMONARCH_LOG")}
	// The kernel ends the process if this program ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.lock.Lock()
	p.command, p.exited = command, exited
	p.starts++
	p.lock.Unlock()
	p.fleet.record.add("platform: %s started, pid %d", name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) name() string { return p.machine.name + "-" + p.role }

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		p.fleet.record.add("platform: %v to %s", signal, p.name())
		_ = p.command.Process.Signal(signal)
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.lock.Lock()
	exited := p.exited
	p.lock.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// await waits until the process has ended.
func (p *process) await(timeout time.Duration) bool {
	p.lock.Lock()
	exited := p.exited
	p.lock.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// memory returns the resident memory of the process and its peak, in MB; zero if it has ended.
func (p *process) memory() (now, peak int) {
	if !p.running() {
		return 0, 0
	}
	p.lock.Lock()
	pid := p.command.Process.Pid
	p.lock.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = value / 1024
		case "VmHWM:":
			peak = value / 1024
		}
	}
	return now, peak
}

// of returns the processes of a role, in the order of the machines.
func (f *fleet) of(role string) []*process {
	var list []*process
	for _, m := range f.machines {
		for _, p := range m.processes {
			if p.role == role {
				list = append(list, p)
			}
		}
	}
	return list
}

// startAll starts every process.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		for _, p := range m.processes {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopAll ends every process and removes the temporary folder.
func (f *fleet) stopAll() {
	for _, m := range f.machines {
		for _, p := range m.processes {
			if p.running() {
				_ = p.command.Process.Signal(syscall.SIGKILL)
				p.await(5 * time.Second)
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// ingress returns the addresses of the gateways for clients.
func (f *fleet) ingress() []string {
	var list []string
	for _, p := range f.of("gateway") {
		list = append(list, p.machine.ip+":"+strconv.Itoa(portIngress))
	}
	return list
}

// controls returns the addresses of the controllers.
func (f *fleet) controls() []string {
	var list []string
	for _, p := range f.of("controller") {
		list = append(list, p.machine.ip+":"+strconv.Itoa(portControl))
	}
	return list
}

// ingress returns the address of the machine for clients.
func (m *machine) ingress() string { return net.JoinHostPort(m.ip, strconv.Itoa(portIngress)) }
