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

// starter starts every process of a fleet on one thread that lives as long as the
// lab: the kernel ends a child when the thread that began it ends, so nothing stays
// behind even where the lab itself is killed.
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

// process is one real program of the fleet.
type process struct {
	node         node
	starter      *starter
	programPath  string
	settingsPath string
	logPath      string

	// restarting is held while a trouble ends the process and starts it again.
	restarting sync.Mutex

	lock    sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected tells that the lab ends it itself.
	expected bool
}

// run starts the program; died is told where it ends unexpectedly.
func (p *process) run(reportFailure func(error)) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return ErrInvalidLab.Wrap(err, "log of "+p.node.name)
	}
	command := exec.Command(p.programPath)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), settings.Variable+"="+p.settingsPath)
	// A group of its own: a Ctrl-C at the terminal reaches the lab alone, which then
	// ends the others in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = p.starter.start(command)
	// The process has a descriptor of its own; nothing was written through this one.
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
			reportFailure(ErrInvalidLab.New(p.node.name + " ended by itself (" + exitStatus(err) + "): " + p.lastLine()))
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

// signal sends a signal to this process alone, by its id.
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

// stop ends the process in order, and by force once its grace is over.
func (p *process) stop() {
	p.signal(syscall.SIGTERM, true)
	// A frozen process can't heed anything but SIGKILL.
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

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.lock.Lock()
	ended := p.exited
	p.lock.Unlock()
	if ended != nil {
		<-ended
	}
}

// id is the process id, or 0.
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
