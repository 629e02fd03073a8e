package lab

import (
	"sort"
	"strconv"
	"strings"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/workeremulator"
)

// Trouble is one failure to inject, or one piece of planned work to carry out.
type Trouble struct {
	// AtS is the time at which it begins, in seconds from the start of the load.
	AtS float64 `toml:"at-s" json:"at-s"`
	// Kind is one of the keys of Kinds.
	Kind string `toml:"kind" json:"kind"`
	// Target is the name of a process (gateway-1) or worker (worker-2), or the common prefix
	// for all of a kind (gateway, worker).
	Target string `toml:"target" json:"target"`
	// ForS is the duration in seconds; BackS is the time in seconds after which a process or worker is
	// started again.
	ForS   float64               `toml:"for-s" json:"for-s"`
	BackS  float64               `toml:"back-s" json:"back-s"`
	Faults workeremulator.Faults `toml:"faults" json:"faults"`
}

// The kinds of trouble.
const (
	kindKill      = "kill"
	kindStop      = "stop"
	kindFreeze    = "freeze"
	kindCrash     = "crash"
	kindReplace   = "replace"
	kindFlap      = "flap"
	kindFaults    = "faults"
	kindConfigure = "configure"
	kindReload    = "reload"
	kindReloadBad = "reload-invalid"
	kindWipe      = "wipe"
)

// Kinds describes each kind of trouble.
var Kinds = map[string]string{
	kindKill:      "a process is killed, and started again after back-s",
	kindWipe:      "a process is killed and its disk emptied, and started again after back-s",
	kindStop:      "a process is stopped gracefully, and started again after back-s; with for-s it gets SIGTERM again after that time",
	kindFreeze:    "a process is suspended (SIGSTOP) for for-s",
	kindCrash:     "a worker resets every connection, and is started again as a new incarnation after back-s",
	kindReplace:   "a worker leaves gracefully, and a new incarnation replaces it",
	kindFlap:      "a worker alternates between down and up for for-s, back-s each",
	kindFaults:    "the faults of a worker are set for for-s (permanently if 0)",
	kindConfigure: "a new configuration with one more route is sent",
	kindReload:    "the settings file of a process is rewritten, and the process gets SIGHUP",
	kindReloadBad: "the settings file of a process becomes invalid, and the process gets SIGHUP",
}

// Check returns an error for the first invalid field, or nil. It has no effect on the fleet.
func (t *Trouble) Check() error {
	onProcess, onWorker := false, false
	switch t.Kind {
	case kindKill, kindStop, kindWipe, kindFreeze, kindReload, kindReloadBad:
		onProcess = true
	case kindCrash, kindReplace, kindFlap, kindFaults:
		onWorker = true
	case kindConfigure:
	default:
		return ErrInvalidLab.New("no such kind of trouble: " + strconv.Quote(t.Kind))
	}
	role, _, _ := strings.Cut(t.Target, "-")
	isProcess := role == "gateway" || role == "controller" || role == "store"
	isWorker := role == "worker" || role == "plain"
	if (onProcess && !isProcess) || (onWorker && !isWorker) {
		return ErrInvalidLab.New("target " + strconv.Quote(t.Target) + " does not fit the kind " + t.Kind)
	}
	if !(t.AtS >= 0) || !(t.ForS >= 0) || !(t.BackS >= 0) {
		return ErrInvalidLab.New("at-s, for-s and back-s must not be below 0")
	}
	if (t.Kind == kindFreeze || t.Kind == kindFlap) && t.ForS == 0 {
		return ErrInvalidLab.New("a " + t.Kind + " needs for-s")
	}
	if findings := t.Faults.Check(); len(findings) > 0 {
		return ErrInvalidLab.New("faults: " + findings[0])
	}
	return nil
}

func matchesTarget(name, target string) bool {
	return name == target || strings.HasPrefix(name, target+"-")
}

func seconds(count float64) clock.Duration { return clock.Milliseconds(count * 1000) }

// InjectTrouble checks a trouble and begins it. All kinds but configure continue in the background.
func (f *Fleet) InjectTrouble(trouble Trouble) error {
	if err := trouble.Check(); err != nil {
		return err
	}
	if trouble.Kind == kindConfigure {
		_, err := f.operator.addRoute()
		return err
	}
	found := false
	run := func(apply func()) {
		found = true
		f.runningTroubles.Add(1)
		go func() {
			defer f.runningTroubles.Done()
			apply()
		}()
	}
	select {
	case <-f.stopping:
		return ErrInvalidLab.New("the fleet is being stopped")
	default:
	}
	for _, target := range f.processes {
		if matchesTarget(target.node.name, trouble.Target) {
			run(func() { f.applyToProcess(target, trouble) })
		}
	}
	for _, target := range f.workerSlots {
		if matchesTarget(target.name, trouble.Target) {
			run(func() { f.applyToWorker(target, trouble) })
		}
	}
	if !found {
		return ErrInvalidLab.New("no process or worker matches the target " + strconv.Quote(trouble.Target))
	}
	return nil
}

// pause waits for a duration. It returns false as soon as the fleet is being stopped.
func (f *Fleet) pause(duration clock.Duration) bool {
	select {
	case <-f.stopping:
		return false
	case <-clock.After(duration):
		return true
	}
}

// applyToProcess carries out a trouble on a process.
func (f *Fleet) applyToProcess(target *process, trouble Trouble) {
	switch trouble.Kind {
	case kindReload, kindReloadBad:
		if err := f.reload(target, trouble.Kind == kindReload); err != nil {
			f.reportFailure(err)
		}
		return
	case kindFreeze:
		target.signal(syscall.SIGSTOP, false)
		f.pause(seconds(trouble.ForS))
		target.signal(syscall.SIGCONT, false)
		return
	}
	// If two troubles end the same process, the second must wait until it is restarted.
	target.restarting.Lock()
	defer target.restarting.Unlock()
	switch trouble.Kind {
	case kindKill:
		target.kill()
	case kindStop:
		f.stopGracefully(target, trouble.ForS)
	case kindWipe:
		target.kill()
		if err := f.wipe(target.node); err != nil {
			f.reportFailure(err)
			return
		}
	}
	if !f.pause(max(seconds(trouble.BackS), constants.LabRestart)) {
		return
	}
	// This is not the first start, so the settings must not say bootstrap: the data on the disk, unless it
	// was wiped, is still there.
	if _, err := f.Plan.writeSettings(target.node, f.Folder, false); err != nil {
		f.reportFailure(err)
		return
	}
	if err := target.run(f.reportFailure); err != nil {
		f.reportFailure(err)
	}
}

// applyToWorker carries out a trouble on a worker.
func (f *Fleet) applyToWorker(target *workerSlot, trouble Trouble) {
	downtime := max(seconds(trouble.BackS), constants.LabRestart)
	start := func() {
		if err := target.start(f.record, f.Plan.Controls()); err != nil {
			f.reportFailure(err)
		}
	}
	if trouble.Kind != kindFaults {
		target.restarting.Lock()
		defer target.restarting.Unlock()
	}
	switch trouble.Kind {
	case kindCrash:
		target.crash()
		if f.pause(downtime) {
			start()
		}
	case kindReplace:
		target.leave()
		start()
	case kindFlap:
		for end := clock.Now().Add(seconds(trouble.ForS)); clock.Now() < end; {
			target.crash()
			if !f.pause(downtime) {
				return
			}
			start()
			if !f.pause(downtime) {
				return
			}
		}
	case kindFaults:
		target.setFaults(trouble.Faults)
		if trouble.ForS > 0 {
			f.pause(seconds(trouble.ForS))
			target.setFaults(workeremulator.Faults{})
		}
	}
}

// KindNames returns the kinds of trouble in alphabetical order.
func KindNames() []string {
	names := make([]string, 0, len(Kinds))
	for name := range Kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
