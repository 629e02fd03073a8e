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

// OnConfig registers who is notified of newer configurations.
func (a *Agent) OnConfig(function func(*routeconfig.Config)) {
	a.onConfig = append(a.onConfig, function)
}

// Config is the newest configuration known here, or nil.
func (a *Agent) Config() *routeconfig.Config {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.config
}

// Generation is its number.
func (a *Agent) Generation() int64 {
	if config := a.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// ApplyConfig puts a chosen configuration in force, never an older one.
func (a *Agent) ApplyConfig(body []byte) {
	config, err := routeconfig.Parse(body)
	if err != nil {
		a.Log.Error("configuration not parsed", "err", err.Error())
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

// notifyConfig notifies the parts of this process of the newest configuration. Two that are
// applied at one time reach every part in their order: none is left with the older one.
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
	// A push without a body only says that there is one.
	a.ObserveGeneration(push.Generation)
	return &messages.Ack{Accepted: a.Generation() >= push.Generation}, nil
}

// handleConfigPull answers another process that has seen this one follow a newer configuration.
// What is followed here was chosen. Controllers answer for themselves.
func (a *Agent) handleConfigPull(_ *messages.ConfigPull) (*messages.ConfigPush, error) {
	config := a.Config()
	if config == nil {
		return nil, process.ErrUnavailable.New("no configuration yet")
	}
	return &messages.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
}

// forward sends a configuration on to the part of the zone that came with it, through a
// few of that part, so that no single link carries it all. Whoever is missed pulls it on
// seeing the newer generation.
func (a *Agent) forward(push *messages.ConfigPush) {
	for _, send := range broadcast.Split(push.ForwardTo, constants.BodyFanout) {
		go func() {
			for {
				part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: send.ForwardTo}
				err := transport.Call(a.Transport, send.Address, messages.KindConfigPush, part, &messages.Ack{}, constants.CallTimeout)
				if err == nil || len(send.ForwardTo) == 0 {
					return
				}
				// The next of the part takes the place of one that does not answer.
				send.Address, send.ForwardTo = send.ForwardTo[0], send.ForwardTo[1:]
			}
		}()
	}
}

// ObserveGeneration pulls a configuration that somebody was seen to have.
func (a *Agent) ObserveGeneration(generation int64) { a.ObserveGenerationAt(generation, "") }

// ObserveGenerationAt pulls a configuration that the process at an address was seen to have;
// it is asked first. The pull goes on until somebody gave that configuration or a newer
// one: a controller that is behind must not end it.
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

// pullUntil asks one process, then the controllers, until this process follows a
// generation, and tells whether any of them answered.
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

// pullLinearizable asks controllers until one of them has read the configuration at a majority.
func (a *Agent) pullLinearizable() bool {
	for _, address := range a.controllerAddresses() {
		if a.pullFrom(address, true) {
			return true
		}
	}
	return false
}

// controllerAddresses gives the controllers to ask: those that have just failed to
// answer, or are detached, come last.
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

// pullFrom asks one process for its configuration, or for a read at a majority, and
// tells whether it answered.
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

// PullFirst is how a starting process learns the configuration: from a majority, and only
// after constants.FirstConfigTimeout from whatever a controller knows. It calls done once a
// configuration is in force, and returns without that call where the process stops.
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

// stopped tells whether the process has ended its part in the fleet.
func (a *Agent) stopped() bool {
	select {
	case <-a.Stop:
		return true
	default:
		return false
	}
}

// awaitConfig sleeps for a while, less where a first configuration is pushed meanwhile: the
// whole fleet may be asking a few controllers.
func (a *Agent) awaitConfig(backoff clock.Duration) {
	hadConfig := a.Config() != nil
	for slept := clock.Duration(0); slept < backoff && (hadConfig || a.Config() == nil); slept += constants.StartBackoff {
		clock.Sleep(constants.StartBackoff)
	}
}
