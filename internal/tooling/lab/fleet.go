package lab

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/workeremulator"
)

// Fleet is one running fleet.
type Fleet struct {
	Plan   Plan
	Folder string
	// Died tells of the first process that ended by itself.
	Died chan error

	record          *workeremulator.Record
	processes       []*process
	workerSlots     []*workerSlot
	endpoint        *endpoint
	starter         *starter
	operator        operator
	stopping        chan struct{}
	stopOnce        sync.Once
	ownsFolder      bool
	runningTroubles sync.WaitGroup
}

// Start carries a plan out and returns once every gateway is ready. Where anything
// goes wrong or the context is cancelled, all that was started is ended before it returns.
// An empty folder makes it use one of its own, which goes away with the fleet.
func Start(ctx contexts.Context, plan Plan, folder string) (*Fleet, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	configuration := plan.firstConfiguration()
	if plan.Configuration != "" {
		text, err := os.ReadFile(plan.Configuration)
		if err != nil {
			return nil, ErrInvalidLab.Wrap(err, "configuration")
		}
		configuration = text
	}
	if err := plan.checkAddressesFree(); err != nil {
		return nil, err
	}
	programs, err := filepath.Abs(plan.Programs)
	if err != nil {
		return nil, ErrInvalidLab.Wrap(err, "programs")
	}
	plan.Programs = programs
	fleet := &Fleet{Plan: plan, Folder: folder, Died: make(chan error, 1), record: &workeremulator.Record{}, starter: newStarter(),
		stopping: make(chan struct{}), operator: operator{controls: plan.Controls()}}
	if folder == "" {
		if fleet.Folder, err = os.MkdirTemp("", "lemonarch-lab-"); err != nil {
			return nil, ErrInvalidLab.Wrap(err, "temporary folder")
		}
		fleet.ownsFolder = true
	} else if err = os.MkdirAll(folder, 0o755); err != nil {
		return nil, ErrInvalidLab.Wrap(err, "folder")
	}
	if fleet.Folder, err = filepath.Abs(fleet.Folder); err == nil {
		err = fleet.start(ctx, configuration)
	}
	if err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) start(ctx contexts.Context, configuration []byte) error {
	for _, node := range f.Plan.nodes() {
		proc := newProcess(&f.Plan, node, f.Folder, f.starter)
		path, err := f.Plan.writeSettings(node, f.Folder, true)
		if err != nil {
			return err
		}
		proc.settingsPath = path
		if err = proc.run(f.reportFailure); err != nil {
			return err
		}
		f.processes = append(f.processes, proc)
	}
	for _, proc := range f.Plan.workerSlots() {
		if err := proc.start(f.record, f.Plan.Controls()); err != nil {
			return err
		}
		f.workerSlots = append(f.workerSlots, proc)
	}
	if err := f.serveEndpoint(); err != nil {
		return err
	}
	deadline := clock.Now().Add(constants.LabStartLimit)
	if err := f.retryUntil(ctx, deadline, "the first configuration", func() error { return f.operator.sendFirst(configuration) }); err != nil {
		return err
	}
	if err := f.retryUntil(ctx, deadline, "every gateway ready", f.ready); err != nil {
		return err
	}
	return f.retryUntil(ctx, deadline, "a store on duty", f.jobsReady)
}

// lotsReady asks for a lot that nobody handed in: only where the stores can be sure
// is the answer 404, and from then on lots are taken.
func (f *Fleet) jobsReady() error {
	for _, address := range f.Plan.Ingress() {
		resp, err := f.operator.call(http.MethodGet, "http://"+address+"/-/lots/lab-start", nil, 0)
		if err != nil {
			return err
		}
		if resp.status != http.StatusNotFound {
			return ErrInvalidLab.New(address + " can't answer for lots yet")
		}
	}
	return nil
}

// died keeps the first death; a fleet that is being stopped has none.
func (f *Fleet) reportFailure(err error) {
	select {
	case <-f.stopping:
	case f.Died <- err:
	default:
	}
}

// until tries again and again, and tells of a death or of the last failure.
func (f *Fleet) retryUntil(ctx contexts.Context, deadline clock.Instant, condition string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		var rejected rejectedError
		if errors.As(err, &rejected) || clock.Now() >= deadline {
			return ErrInvalidLab.Wrap(err, "no success with "+condition)
		}
		select {
		case err = <-f.Died:
			return err
		case <-ctx.Done():
			return ErrInvalidLab.New("stopped while starting")
		case <-clock.After(constants.LabRetry):
		}
	}
}

// ready asks every gateway whether it is.
func (f *Fleet) ready() error {
	for _, address := range f.Plan.Readiness() {
		resp, err := f.operator.call(http.MethodGet, "http://"+address+"/-/readiness", nil, 0)
		if err != nil {
			return err
		}
		if resp.status != http.StatusOK {
			return ErrInvalidLab.New(address + " is not ready")
		}
	}
	return nil
}

// Stop ends everything that was started, each by its id.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() {
		close(f.stopping)
		// Troubles under way end first, so that none starts a process once more.
		f.runningTroubles.Wait()
		if f.endpoint != nil {
			f.endpoint.close()
		}
		var group sync.WaitGroup
		for _, proc := range f.processes {
			group.Add(1)
			go func() {
				defer group.Done()
				proc.stop()
			}()
		}
		group.Wait()
		for _, proc := range f.workerSlots {
			proc.crash()
		}
		if f.ownsFolder {
			// What can't be removed stays in the folder for temporary files.
			_ = os.RemoveAll(f.Folder)
		}
	})
}

// Routes gives the routes of the configuration in force, as far as it was sent here.
func (f *Fleet) Routes() []routeconfig.Route { return f.operator.routes() }
