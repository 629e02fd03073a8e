package lab

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
)

// starter starts every process of a fleet on one thread that exists as long as the lab. With
// Pdeathsig the kernel kills a child when the thread that started it ends, so no process
// is left behind even if the lab itself is killed.
type starter struct {
	calls chan func()
}

func newStarter() *starter {
	starter := &starter{calls: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for call := range starter.calls {
			call()
		}
	}()
	return starter
}

func (s *starter) start(command *exec.Cmd) error {
	done := make(chan error)
	s.calls <- func() { done <- command.Start() }
	return <-done
}

// process is one running program of the fleet.
type process struct {
	node         node
	starter      *starter
	programPath  string
	settingsPath string
	logPath      string

	// restarting is locked while a trouble stops the process and starts it again.
	restarting sync.Mutex

	// lock guards the fields after it. exited is closed once the process has exited.
	lock    sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected means that the lab itself ends the process.
	expected bool
}

// run starts the program. It calls reportFailure if the process exits unexpectedly.
func (p *process) run(reportFailure func(error)) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return ErrInvalidLab.Wrap(err, "log of "+p.node.name)
	}
	command := exec.Command(p.programPath)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), settings.PathVariable+"="+p.settingsPath)
	// With a process group of its own the child does not receive a Ctrl-C at the terminal: only
	// the lab does, which then stops the processes gracefully.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = p.starter.start(command)
	// The child has its own descriptor; nothing was written through this one, so an error of Close is
	// of no consequence.
	_ = log.Close()
	if err != nil {
		return ErrInvalidLab.Wrap(err, p.node.name)
	}
	ended := make(chan struct{})
	p.lock.Lock()
	p.command, p.exited, p.expected = command, ended, false
	p.lock.Unlock()
	go func() {
		err := command.Wait()
		p.lock.Lock()
		expected := p.expected
		p.lock.Unlock()
		close(ended)
		if !expected {
			reportFailure(ErrInvalidLab.New(p.node.name + " exited unexpectedly (" + exitStatus(err) + "): " + p.lastLine()))
		}
	}()
	return nil
}

func exitStatus(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func (p *process) lastLine() string {
	text, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to this process only, by its id, unless it has exited. With expected set, an
// exit from now on is not a failure.
func (p *process) signal(signal os.Signal, expected bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return
	}
	p.expected = p.expected || expected
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// stop sends SIGTERM and waits for the process to exit. After LabGrace it sends SIGKILL.
func (p *process) stop() {
	p.signal(syscall.SIGTERM, true)
	// A process stopped by SIGSTOP handles no other signal than SIGKILL until it receives SIGCONT.
	p.signal(syscall.SIGCONT, true)
	p.lock.Lock()
	ended := p.exited
	p.lock.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-clock.After(constants.LabGrace):
		p.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.lock.Lock()
	ended := p.exited
	p.lock.Unlock()
	if ended != nil {
		<-ended
	}
}

// id returns the process id, or 0 if the process was never started.
func (p *process) id() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

func newProcess(plan *Plan, spec node, folder string, starter *starter) *process {
	return &process{node: spec, starter: starter, programPath: filepath.Join(plan.Programs, spec.role), logPath: filepath.Join(folder, spec.name+".log")}
}
