package sawhorse

import (
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/errand"
	"lemonarch/internal/jig"
	"lemonarch/internal/watch"
)

// Fleet is one running fleet.
type Fleet struct {
	Plan   Plan
	Folder string
	// Died tells of the first process that ended by itself.
	Died chan error

	record    *anvil.Record
	processes []*process
	places    []*place
	desk      *http.Server
	starter   *starter
	operator  operator
	stopping  chan struct{}
	once      sync.Once
	own       bool
	troubles  sync.WaitGroup
}

// Start carries a plan out and returns once every forge is ready. Where anything
// goes wrong or the errand is called off, all that was started is ended before it returns. An empty folder
// makes it use one of its own, which goes away with the fleet.
func Start(called errand.Errand, plan Plan, folder string) (*Fleet, error) {
	if failure := plan.Check(); failure != nil {
		return nil, failure
	}
	configuration := plan.firstConfiguration()
	if plan.Configuration != "" {
		text, failure := os.ReadFile(plan.Configuration)
		if failure != nil {
			return nil, Unfit.Wrap(failure, "configuration")
		}
		configuration = text
	}
	if failure := plan.free(); failure != nil {
		return nil, failure
	}
	programs, failure := filepath.Abs(plan.Programs)
	if failure != nil {
		return nil, Unfit.Wrap(failure, "programs")
	}
	plan.Programs = programs
	fleet := &Fleet{Plan: plan, Folder: folder, Died: make(chan error, 1), record: &anvil.Record{}, starter: newStarter(),
		stopping: make(chan struct{}), operator: operator{controls: plan.Controls()}}
	if folder == "" {
		if fleet.Folder, failure = os.MkdirTemp("", "lemonarch-lab-"); failure != nil {
			return nil, Unfit.Wrap(failure, "temporary folder")
		}
		fleet.own = true
	} else if failure = os.MkdirAll(folder, 0o755); failure != nil {
		return nil, Unfit.Wrap(failure, "folder")
	}
	if fleet.Folder, failure = filepath.Abs(fleet.Folder); failure == nil {
		failure = fleet.start(called, configuration)
	}
	if failure != nil {
		fleet.Stop()
		return nil, failure
	}
	return fleet, nil
}

func (fleet *Fleet) start(called errand.Errand, configuration []byte) error {
	for _, node := range fleet.Plan.nodes() {
		one := newProcess(&fleet.Plan, node, fleet.Folder, fleet.starter)
		path, failure := fleet.Plan.write(node, fleet.Folder, true)
		if failure != nil {
			return failure
		}
		one.path = path
		if failure = one.run(fleet.died); failure != nil {
			return failure
		}
		fleet.processes = append(fleet.processes, one)
	}
	for _, one := range fleet.Plan.places() {
		if failure := one.begin(fleet.record, fleet.Plan.Controls()); failure != nil {
			return failure
		}
		fleet.places = append(fleet.places, one)
	}
	if failure := fleet.serveDesk(); failure != nil {
		return failure
	}
	end := watch.Now().Plus(almanac.LabStartLimit)
	if failure := fleet.until(called, end, "the first configuration", func() error { return fleet.operator.first(configuration) }); failure != nil {
		return failure
	}
	if failure := fleet.until(called, end, "every forge ready", fleet.ready); failure != nil {
		return failure
	}
	return fleet.until(called, end, "a locker on duty", fleet.lotsReady)
}

// lotsReady asks for a lot that nobody handed in: only where the lockers can be sure
// is the answer 404, and from then on lots are taken.
func (fleet *Fleet) lotsReady() error {
	for _, address := range fleet.Plan.Ingress() {
		answer, failure := fleet.operator.ask(http.MethodGet, "http://"+address+"/-/lots/lab-start", nil, 0)
		if failure != nil {
			return failure
		}
		if answer.status != http.StatusNotFound {
			return Unfit.New(address + " can't answer for lots yet")
		}
	}
	return nil
}

// died keeps the first death; a fleet that is being stopped has none.
func (fleet *Fleet) died(failure error) {
	select {
	case <-fleet.stopping:
	case fleet.Died <- failure:
	default:
	}
}

// until tries again and again, and tells of a death or of the last failure.
func (fleet *Fleet) until(called errand.Errand, end watch.Moment, what string, function func() error) error {
	for {
		failure := function()
		if failure == nil {
			return nil
		}
		if _, final := failure.(refused); final || watch.Now() >= end {
			return Unfit.Wrap(failure, "no success with "+what)
		}
		select {
		case failure = <-fleet.Died:
			return failure
		case <-called.Done():
			return Unfit.New("stopped while starting")
		case <-watch.After(almanac.LabRetry):
		}
	}
}

// ready asks every forge whether it is.
func (fleet *Fleet) ready() error {
	for _, address := range fleet.Plan.Readiness() {
		answer, failure := fleet.operator.ask(http.MethodGet, "http://"+address+"/-/readiness", nil, 0)
		if failure != nil {
			return failure
		}
		if answer.status != http.StatusOK {
			return Unfit.New(address + " is not ready")
		}
	}
	return nil
}

// Stop ends everything that was started, each by its id.
func (fleet *Fleet) Stop() {
	fleet.once.Do(func() {
		close(fleet.stopping)
		// Troubles under way end first, so that none starts a process once more.
		fleet.troubles.Wait()
		if fleet.desk != nil {
			fleet.desk.Close()
		}
		var group sync.WaitGroup
		for _, one := range fleet.processes {
			group.Add(1)
			go func() {
				defer group.Done()
				one.stop()
			}()
		}
		group.Wait()
		for _, one := range fleet.places {
			one.crash()
		}
		if fleet.own {
			os.RemoveAll(fleet.Folder)
		}
	})
}

// Routes gives the routes of the configuration in force, as far as it was sent here.
func (fleet *Fleet) Routes() []jig.Route { return fleet.operator.routes() }
