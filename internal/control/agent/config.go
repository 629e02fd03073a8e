package agent

import (
	"math"
	"math/rand"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// OnConfig registers a function that is called with each newer configuration.
func (a *Agent) OnConfig(function func(*routeconfig.Config)) {
	a.onConfig = append(a.onConfig, function)
}

// Config returns the newest configuration known to this process, or nil if there is none.
func (a *Agent) Config() *routeconfig.Config {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.config
}

// Generation returns the generation of the newest known configuration, 0 if there is none.
func (a *Agent) Generation() int64 {
	if config := a.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// ApplyConfig applies a configuration that was chosen by the acceptors. It ignores a configuration
// that is not newer than the current one.
func (a *Agent) ApplyConfig(body []byte) {
	config, err := routeconfig.Parse(body)
	if err != nil {
		a.Log.Error("failed to parse configuration", "err", err.Error())
		return
	}
	a.lock.Lock()
	if a.config != nil && a.config.Generation >= config.Generation {
		a.lock.Unlock()
		return
	}
	a.config = config
	a.view.SetGeneration(config.Generation)
	a.lock.Unlock()
	a.Log.Info("configuration applied", "generation", config.Generation, "routes", len(config.Routes))
	a.notifyConfig()
}

// notifyConfig calls the OnConfig functions with the newest configuration. Two configurations that are
// applied concurrently reach every function in order, so that none ends with the older one.
func (a *Agent) notifyConfig() {
	a.notifyLock.Lock()
	defer a.notifyLock.Unlock()
	config := a.Config()
	if config.Generation <= a.notifiedGeneration {
		return
	}
	a.notifiedGeneration = config.Generation
	for _, function := range a.onConfig {
		function(config)
	}
}

func (a *Agent) handleConfigPush(push *messages.ConfigPush) (*messages.Ack, error) {
	if len(push.ForwardTo) > 0 {
		go a.forward(push)
	}
	if push.Generation > a.Generation() && len(push.Body) > 0 {
		a.ApplyConfig(push.Body)
	}
	// A push without a body only announces the generation, so the body is pulled.
	a.ObserveGeneration(push.Generation)
	return &messages.Ack{Accepted: a.Generation() >= push.Generation}, nil
}

// handleConfigPull responds to a process that has observed a newer configuration at this one. Serving
// it is safe, because a process only follows configurations that were chosen by the acceptors.
// Controllers register their own handler.
func (a *Agent) handleConfigPull(_ *messages.ConfigPull) (*messages.ConfigPush, error) {
	config := a.Config()
	if config == nil {
		return nil, process.ErrUnavailable.New("no configuration yet")
	}
	return &messages.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
}

// forward sends a configuration to the addresses in ForwardTo. The first constants.BodyFanout of them
// forward it to the others, so that no single link carries all copies. A process that is missed
// pulls the configuration when it observes the newer generation.
func (a *Agent) forward(push *messages.ConfigPush) {
	for _, send := range broadcast.Split(push.ForwardTo, constants.BodyFanout) {
		go func() {
			for {
				part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: send.ForwardTo}
				err := transport.Call(a.Transport, send.Address, messages.KindConfigPush, part, &messages.Ack{}, constants.CallTimeout)
				if err == nil || len(send.ForwardTo) == 0 {
					return
				}
				// The next address replaces a receiver that did not respond.
				send.Address, send.ForwardTo = send.ForwardTo[0], send.ForwardTo[1:]
			}
		}()
	}
}

// ObserveGeneration pulls a configuration that another process follows, if it is newer.
func (a *Agent) ObserveGeneration(generation int64) { a.ObserveGenerationAt(generation, "") }

// ObserveGenerationAt pulls a configuration that the process at an address follows, if it is newer.
// That process is tried first; an empty address means that none is. The pull continues until a
// process has returned that configuration or a newer one, so that a controller that lags behind does
// not end it, or until every known controller was tried. It is not started during another pull.
func (a *Agent) ObserveGenerationAt(generation int64, address string) {
	a.lock.Lock()
	if a.pulling || (a.config != nil && a.config.Generation >= generation) || generation == 0 {
		a.lock.Unlock()
		return
	}
	a.pulling = true
	a.lock.Unlock()
	go func() {
		a.pullUntil(generation, address)
		a.lock.Lock()
		a.pulling = false
		a.lock.Unlock()
	}()
}

// pullUntil pulls from one process, if first is not empty, then from the controllers, until this
// process follows a generation or a newer one. It reports whether any of them responded.
func (a *Agent) pullUntil(generation int64, first string) bool {
	addresses := a.controllerAddresses()
	if first != "" {
		addresses = append([]string{first}, addresses...)
	}
	any := false
	for _, address := range addresses {
		if a.pullFrom(address, false) {
			any = true
		}
		if a.Generation() >= generation {
			break
		}
	}
	return any
}

// pullLinearizable pulls from controllers until one responds with a configuration read from a majority
// of the acceptors, and reports whether one did.
func (a *Agent) pullLinearizable() bool {
	for _, address := range a.controllerAddresses() {
		if a.pullFrom(address, true) {
			return true
		}
	}
	return false
}

// controllerAddresses returns the controllers to pull from, with those that recently failed to respond
// or are detached last. If no controller is known, it returns the seeds in random order.
func (a *Agent) controllerAddresses() []string {
	var addresses []string
	a.WithView(func(view *membership.View) {
		for _, entry := range view.Controllers(clock.Now()) {
			addresses = append(addresses, entry.Address)
		}
	})
	if len(addresses) == 0 {
		addresses = a.Settings.SeedAddresses(constants.PortController)
		rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	}
	return addresses
}

// pullFrom pulls the configuration from one process, or requests a read from a majority of the
// acceptors, and reports whether the process responded.
func (a *Agent) pullFrom(address string, linearizable bool) bool {
	req, timeout := &messages.ConfigPull{Known: a.Generation()}, constants.CallTimeout
	if linearizable {
		req.Known, timeout = -1, constants.RegisterTimeout
	}
	resp := &messages.ConfigPush{}
	if transport.Call(a.Transport, address, messages.KindConfigPull, req, resp, timeout) != nil {
		a.WithView(func(view *membership.View) { view.Failed(address, clock.Now()) })
		return false
	}
	if resp.Generation > 0 {
		a.ApplyConfig(resp.Body)
	}
	return true
}

// PullFirst pulls the first configuration of a starting process. It requires a configuration read from
// a majority of the acceptors; only after constants.FirstConfigTimeout does it accept the
// configuration that any controller follows. It calls done once a configuration is applied, and
// returns without calling done if the process stops first.
func (a *Agent) PullFirst(done func()) {
	start, backoff := clock.Now(), constants.StartBackoff
	for !a.stopped() {
		late := clock.Now().Sub(start) > constants.FirstConfigTimeout
		pulled := a.pullLinearizable() || (late && a.pullUntil(math.MaxInt64, ""))
		if (pulled || late) && a.Config() != nil {
			done()
			return
		}
		a.awaitConfig(backoff)
		backoff = min(2*backoff, constants.StartBackoffMax)
	}
}

// stopped reports whether the process is stopping.
func (a *Agent) stopped() bool {
	select {
	case <-a.Stop:
		return true
	default:
		return false
	}
}

// awaitConfig sleeps for the backoff, or until a first configuration is pushed. The backoff limits the
// load on the controllers, because the whole fleet may be pulling from a few of them.
func (a *Agent) awaitConfig(backoff clock.Duration) {
	hadConfig := a.Config() != nil
	for slept := clock.Duration(0); slept < backoff && (hadConfig || a.Config() == nil); slept += constants.StartBackoff {
		clock.Sleep(constants.StartBackoff)
	}
}
