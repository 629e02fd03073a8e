package loadgen

import (
	"net"
	"net/http"
	"strconv"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// run is one load run against one fleet.
type run struct {
	options Options
	info    *lab.FleetInfo
	routes  map[string]*routeconfig.Route
	// prefix begins the ids of all attempts of this load run, so that the endpoint can return the
	// workers' runs of these attempts only.
	prefix string
	client http.RoundTripper
	// pause sleeps before a retry; tests replace it.
	pause  func(clock.Duration)
	result *Result

	lock sync.Mutex
	// attempts are all attempts sent, by id; inFlight is the number of requests in flight.
	attempts map[string]*sentAttempt
	inFlight int
	// configReads are the answered reads of the configuration, failedReads counts those without a response.
	configReads []configRead
	failedReads int
}

// Drive sends a whole load to the fleet of an endpoint, checks the responses and returns the result.
// If the context ends first, it starts no further requests, jobs or troubles, and waits for the
// requests and jobs in flight, including their retries. A result that is returned together with an
// error is partial.
func Drive(ctx contexts.Context, options Options, endpoint *Endpoint, troubles []lab.Trouble) (*Result, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	info, err := endpoint.Info()
	if err != nil {
		return nil, err
	}
	routes, err := options.routesOf(info)
	if err != nil {
		return nil, err
	}
	load := newRun(options, info, routes, "ld"+strconv.FormatInt(clock.WallNanos(), 36)+"-")
	load.sendLoad(ctx, endpoint, troubles)
	return load.result, load.fetchAndCompareRuns(endpoint)
}

// sendLoad sends all requests and batch jobs, starts the troubles at their times, and waits for the
// last response.
func (r *run) sendLoad(ctx contexts.Context, endpoint *Endpoint, troubles []lab.Trouble) {
	var group sync.WaitGroup
	started := clock.Now()
	for _, trouble := range troubles {
		group.Go(func() { r.startTrouble(ctx, started, endpoint, trouble) })
	}
	if r.options.JobRate > 0 {
		group.Go(func() { r.sendJobs(ctx, started) })
	}
	if r.options.ReadsConfig {
		for _, node := range r.info.Controls {
			group.Go(func() { r.readConfigurations(ctx, started, node) })
		}
	}
	for i := range r.options.Sessions {
		group.Go(func() { r.runSession(ctx, started, i) })
	}
	done := make(chan struct{})
	if progress := r.options.Progress; progress != nil {
		go clock.Every(constants.LoadProgress, done, func() { progress(r.result.progressLine(clock.Now().Sub(started))) })
	}
	r.sendRequests(ctx, started)
	group.Wait()
	close(done)
	if transport, ok := r.client.(*http.Transport); ok {
		transport.CloseIdleConnections()
	}
	r.result.Took = clock.Now().Sub(started).Seconds()
}

// startTrouble requests the start of a trouble from the fleet at the trouble's time.
func (r *run) startTrouble(ctx contexts.Context, started clock.Instant, endpoint *Endpoint, trouble lab.Trouble) {
	if !waitUntil(ctx, started.Add(clock.Milliseconds(trouble.AtS*1000))) {
		return
	}
	if err := endpoint.StartTrouble(trouble); err != nil {
		r.result.addNote("start trouble " + trouble.Kind + " " + trouble.Target + ": " + err.Error())
	}
}

// fetchAndCompareRuns fetches the runs of the fleet's workers and compares the attempts with them.
func (r *run) fetchAndCompareRuns(endpoint *Endpoint) error {
	runs, err := endpoint.Runs(r.prefix)
	if err != nil {
		return err
	}
	r.compareRuns(runs.Runs, runs.Stops)
	for _, finding := range checkConfigReads(r.configReads, runs.Generations) {
		r.result.addFinding(finding)
	}
	r.result.ConfigReads, r.result.FailedConfigReads, r.result.Generations = len(r.configReads), r.failedReads, len(runs.Generations)
	if runs.Dropped > 0 {
		r.result.addNote(strconv.Itoa(runs.Dropped) + " runs did not fit into the workers' record; the check is partial")
	}
	return nil
}

func newRun(options Options, info *lab.FleetInfo, routes map[string]*routeconfig.Route, prefix string) *run {
	dialer := &net.Dialer{Timeout: constants.EmulatorHeartbeatWait}
	return &run{options: options, info: info, routes: routes, prefix: prefix, result: newResult(info.Label), attempts: map[string]*sentAttempt{}, pause: clock.Sleep,
		client: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: constants.LoadInFlightMax, DialContext: dialer.DialContext}}
}

// compareRuns adds a finding for each difference between the attempts and the workers' runs.
func (r *run) compareRuns(runs []workeremulator.Run, stops []lab.GatewayStop) {
	r.lock.Lock()
	defer r.lock.Unlock()
	findings := append(checkRuns(r.attempts, runs), checkLateRuns(r.attempts, runs, stops)...)
	if r.options.PlannedOnly {
		findings = append(findings, checkCuts(r.attempts, runs, stops)...)
	}
	r.result.countDraining(r.attempts, stops)
	for _, finding := range findings {
		r.result.addFinding(finding)
	}
	r.result.Runs = len(runs)
}

// waitUntil waits until an instant. It returns false if the context ends first.
func waitUntil(ctx contexts.Context, at clock.Instant) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(at.Sub(clock.Now())):
		return true
	}
}

// sendRequests sends every request when it is due, regardless of the outcome of earlier ones.
func (r *run) sendRequests(ctx contexts.Context, started clock.Instant) {
	var group sync.WaitGroup
	for _, due := range schedule(&r.options, r.routes, len(r.info.Ingress)) {
		if at := started.Add(due.at); at > clock.Now() && !waitUntil(ctx, at) {
			break
		}
		if ctx.Err() != nil {
			break
		}
		r.lock.Lock()
		full := r.inFlight >= constants.LoadInFlightMax
		if !full {
			r.inFlight++
		}
		r.lock.Unlock()
		if full {
			// Count this, so that the report shows it: the load tool no longer sends at its rate.
			r.result.countNotSent()
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			r.sendWithRetries(due.spec)
			r.lock.Lock()
			r.inFlight--
			r.lock.Unlock()
		}()
	}
	group.Wait()
}

// recordAttempt records an attempt before it is sent.
func (r *run) recordAttempt(attempt, path string, body []byte, route *routeconfig.Route, atMostOnce, batchItem bool) *sentAttempt {
	services := []string{route.Backend}
	for _, share := range route.Weighted {
		services = append(services, share.Backend)
	}
	sent := &sentAttempt{attempt: attempt, path: path, body: workeremulator.BodySum(body), services: services, atMostOnce: atMostOnce, batchItem: batchItem}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.attempts[attempt] = sent
	return sent
}

// recordSent records that the last byte of an attempt is being sent.
func (r *run) recordSent(sent *sentAttempt) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent.sentNanos = clock.WallNanos()
}

// recordCut records that an attempt's connection ended before a complete response.
func (r *run) recordCut(sent *sentAttempt) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent.cut, sent.cutNanos = true, clock.WallNanos()
}

// recordOutcome records the outcome of an attempt that received a response, complete or not.
func (r *run) recordOutcome(sent *sentAttempt, notExecuted, succeeded bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent.notExecuted, sent.succeeded = notExecuted, succeeded
}
