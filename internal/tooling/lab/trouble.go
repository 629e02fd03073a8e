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

// Trouble is one thing that goes wrong, or one piece of planned work.
type Trouble struct {
	// AtS is when, in seconds from the start of the load.
	AtS float64 `toml:"at-s" json:"at-s"`
	// Kind is one of Kinds.
	Kind string `toml:"kind" json:"kind"`
	// Target is the name of a process (gateway-1) or worker (worker-2), or all of a
	// kind (gateway, worker).
	Target string `toml:"target" json:"target"`
	// ForS is how long it lasts; BackS after how long a process or worker returns.
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
)

// Kinds tells what each kind of trouble does.
var Kinds = map[string]string{
	kindKill:      "a process is killed, and started again after back-s",
	kindStop:      "a process is stopped in order, and started again after back-s",
	kindFreeze:    "a process stands still for for-s",
	kindCrash:     "a worker resets every connection, and returns as a new life after back-s",
	kindReplace:   "a worker leaves in order, and a new life takes its place",
	kindFlap:      "a worker goes down and up by turns for for-s, each for back-s",
	kindFaults:    "the faults of a worker are set for for-s (or for good)",
	kindConfigure: "a new configuration with one route more is sent",
	kindReload:    "the settings file of a process is written anew, and it gets SIGHUP",
	kindReloadBad: "the settings file of a process becomes invalid, and it gets SIGHUP",
}

// Check tells what is wrong with a trouble, before anything is broken.
func (trouble *Trouble) Check() error {
	onProcess, onWorker := false, false
	switch trouble.Kind {
	case kindKill, kindStop, kindFreeze, kindReload, kindReloadBad:
		onProcess = true
	case kindCrash, kindReplace, kindFlap, kindFaults:
		onWorker = true
	case kindConfigure:
	default:
		return Unfit.New("no such kind of trouble: " + strconv.Quote(trouble.Kind))
	}
	role, _, _ := strings.Cut(trouble.Target, "-")
	isProcess := role == "gateway" || role == "controller" || role == "store"
	isWorker := role == "worker" || role == "plain"
	if (onProcess && !isProcess) || (onWorker && !isWorker) {
		return Unfit.New("target " + strconv.Quote(trouble.Target) + " does not fit the kind " + trouble.Kind)
	}
	if !(trouble.AtS >= 0) || !(trouble.ForS >= 0) || !(trouble.BackS >= 0) {
		return Unfit.New("at-s, for-s and back-s must not be below 0")
	}
	if (trouble.Kind == kindFreeze || trouble.Kind == kindFlap) && trouble.ForS == 0 {
		return Unfit.New("a " + trouble.Kind + " needs for-s")
	}
	if findings := trouble.Faults.Check(); len(findings) > 0 {
		return Unfit.New("faults: " + findings[0])
	}
	return nil
}

func matches(name, target string) bool { return name == target || strings.HasPrefix(name, target+"-") }

func seconds(count float64) clock.Span { return clock.Milliseconds(count * 1000) }

// Trouble begins a trouble; it goes on by itself.
func (fleet *Fleet) Trouble(trouble Trouble) error {
	if err := trouble.Check(); err != nil {
		return err
	}
	if trouble.Kind == kindConfigure {
		_, err := fleet.operator.addRoute()
		return err
	}
	found := false
	begin := func(function func()) {
		found = true
		fleet.troubles.Add(1)
		go func() {
			defer fleet.troubles.Done()
			function()
		}()
	}
	select {
	case <-fleet.stopping:
		return Unfit.New("the fleet is being stopped")
	default:
	}
	for _, one := range fleet.processes {
		if matches(one.node.name, trouble.Target) {
			begin(func() { fleet.harm(one, trouble) })
		}
	}
	for _, one := range fleet.places {
		if matches(one.name, trouble.Target) {
			begin(func() { fleet.disturb(one, trouble) })
		}
	}
	if !found {
		return Unfit.New("nothing here is called " + strconv.Quote(trouble.Target))
	}
	return nil
}

// pause waits, unless the fleet is stopped.
func (fleet *Fleet) pause(span clock.Span) bool {
	select {
	case <-fleet.stopping:
		return false
	case <-clock.After(span):
		return true
	}
}

// harm does to a process what the trouble says.
func (fleet *Fleet) harm(one *process, trouble Trouble) {
	switch trouble.Kind {
	case kindReload, kindReloadBad:
		if err := fleet.reload(one, trouble.Kind == kindReload); err != nil {
			fleet.died(err)
		}
		return
	case kindFreeze:
		one.signal(syscall.SIGSTOP, false)
		fleet.pause(seconds(trouble.ForS))
		one.signal(syscall.SIGCONT, false)
		return
	case kindKill:
		one.kill()
	case kindStop:
		one.stop()
	}
	if !fleet.pause(max(seconds(trouble.BackS), constants.LabRestart)) {
		return
	}
	// Not the first start any more: the disk holds what it held.
	if _, err := fleet.Plan.write(one.node, fleet.Folder, false); err != nil {
		fleet.died(err)
		return
	}
	if err := one.run(fleet.died); err != nil {
		fleet.died(err)
	}
}

// disturb does to a worker what the trouble says.
func (fleet *Fleet) disturb(one *place, trouble Trouble) {
	back := max(seconds(trouble.BackS), constants.LabRestart)
	begin := func() {
		if err := one.begin(fleet.record, fleet.Plan.Controls()); err != nil {
			fleet.died(err)
		}
	}
	switch trouble.Kind {
	case kindCrash:
		one.crash()
		if fleet.pause(back) {
			begin()
		}
	case kindReplace:
		one.leave()
		begin()
	case kindFlap:
		for end := clock.Now().Plus(seconds(trouble.ForS)); clock.Now() < end; {
			one.crash()
			if !fleet.pause(back) {
				return
			}
			begin()
			if !fleet.pause(back) {
				return
			}
		}
	case kindFaults:
		one.trouble(trouble.Faults)
		if trouble.ForS > 0 {
			fleet.pause(seconds(trouble.ForS))
			one.trouble(workeremulator.Faults{})
		}
	}
}

// KindNames lists the kinds of trouble in order.
func KindNames() []string {
	names := make([]string, 0, len(Kinds))
	for name := range Kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
