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

// Fleet is a running fleet.
type Fleet struct {
	Plan   Plan
	Folder string
	// Failed receives the first failure: a process that exited unexpectedly, or a trouble that could not be
	// carried out.
	Failed chan error

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
	// lock guards stops.
	lock  sync.Mutex
	stops []GatewayStop
}

// Start starts the fleet of a plan and returns once every gateway is ready and the stores accept batch
// jobs. If it fails or the context is cancelled, it stops everything that it started before it returns.
// If folder is empty, the fleet uses a temporary one, which Stop removes.
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
	fleet := &Fleet{Plan: plan, Folder: folder, Failed: make(chan error, 1), record: &workeremulator.Record{}, starter: newStarter(),
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
	for _, slot := range f.Plan.workerSlots() {
		if err := slot.start(f.record, f.Plan.Controls()); err != nil {
			return err
		}
		f.workerSlots = append(f.workerSlots, slot)
	}
	if err := f.serveEndpoint(); err != nil {
		return err
	}
	deadline := clock.Now().Add(constants.LabStartLimit)
	if err := f.retryUntil(ctx, deadline, "sending the first configuration", func() error { return f.operator.sendFirst(configuration) }); err != nil {
		return err
	}
	if err := f.retryUntil(ctx, deadline, "waiting for every gateway to be ready", f.ready); err != nil {
		return err
	}
	return f.retryUntil(ctx, deadline, "waiting for the stores to accept batch jobs", f.jobsReady)
}

// jobsReady requests a batch job that does not exist. The response is 404 only if the stores can be
// sure that the job does not exist; from then on they accept jobs.
func (f *Fleet) jobsReady() error {
	for _, address := range f.Plan.Ingress() {
		resp, err := f.operator.call(http.MethodGet, "http://"+address+"/-/lots/lab-start", nil, 0)
		if err != nil {
			return err
		}
		if resp.status != http.StatusNotFound {
			return ErrInvalidLab.New(address + " does not accept batch jobs yet")
		}
	}
	return nil
}

// reportFailure sends a failure to Failed unless one is pending already or the fleet is being stopped.
func (f *Fleet) reportFailure(err error) {
	select {
	case <-f.stopping:
	case f.Failed <- err:
	default:
	}
}

// retryUntil calls check every LabRetry until it succeeds. It returns the error of check if that is a
// rejection or the deadline has passed, the failure of a process if there is one, and an error once
// the context is cancelled.
func (f *Fleet) retryUntil(ctx contexts.Context, deadline clock.Instant, activity string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		var rejected rejectedError
		if errors.As(err, &rejected) || clock.Now() >= deadline {
			return ErrInvalidLab.Wrap(err, "start failed while "+activity)
		}
		select {
		case err = <-f.Failed:
			return err
		case <-ctx.Done():
			return ErrInvalidLab.New("stopped while the fleet was starting")
		case <-clock.After(constants.LabRetry):
		}
	}
}

// ready returns nil if every gateway reports that it is ready.
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

// Stop stops everything that was started, each process by its id.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() {
		close(f.stopping)
		// Running troubles must end first, so that none of them restarts a process afterwards.
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
		for _, slot := range f.workerSlots {
			slot.crash()
		}
		if f.ownsFolder {
			// Files that can't be removed are left in the folder for temporary files.
			_ = os.RemoveAll(f.Folder)
		}
	})
}

// Routes returns the routes of the last configuration that a controller accepted from the lab.
func (f *Fleet) Routes() []routeconfig.Route { return f.operator.routes() }
