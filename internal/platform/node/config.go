package node

import (
	"math"
	"math/rand"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// OnConfig registers who is told of newer configurations.
func (n *Node) OnConfig(function func(*routeconfig.Config)) {
	n.onConfig = append(n.onConfig, function)
}

// Config is the newest configuration known here, or nil.
func (n *Node) Config() *routeconfig.Config {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.config
}

// Generation is its number.
func (n *Node) Generation() int64 {
	if config := n.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// ApplyConfig puts a chosen configuration in force, never an older one.
func (n *Node) ApplyConfig(body []byte) {
	config, err := routeconfig.Parse(body)
	if err != nil {
		n.Log.Error("configuration unreadable", "why", err.Error())
		return
	}
	n.lock.Lock()
	if n.config != nil && n.config.Generation >= config.Generation {
		n.lock.Unlock()
		return
	}
	n.config = config
	n.view.SetGeneration(config.Generation)
	n.lock.Unlock()
	n.Log.Info("configuration taken", "generation", config.Generation, "routes", len(config.Routes))
	for _, function := range n.onConfig {
		function(config)
	}
}

func (n *Node) handleConfigPush(body []byte) ([]byte, error) {
	push := &messages.ConfigPush{}
	if err := transport.Decode(body, push); err != nil {
		return nil, err
	}
	if len(push.ForwardTo) > 0 {
		go n.forward(push)
	}
	if push.Generation > n.Generation() && len(push.Body) > 0 {
		n.ApplyConfig(push.Body)
	}
	// A push without a body only says that there is one.
	n.ObserveGeneration(push.Generation)
	return transport.Encode(&messages.Ack{Accepted: n.Generation() >= push.Generation})
}

// handleConfigPull answers another process that has seen this one follow a newer configuration.
// What is followed here was chosen. Controllers answer for themselves.
func (n *Node) handleConfigPull(_ []byte) ([]byte, error) {
	config := n.Config()
	if config == nil {
		return nil, ErrUnavailable.New("no configuration yet")
	}
	return transport.Encode(&messages.ConfigPush{Generation: config.Generation, Body: config.Body})
}

// forward sends a configuration on to the part of the zone that came with it, through a
// few of that part, so that no single link carries it all. Whoever is missed pulls it on
// seeing the newer generation.
func (n *Node) forward(push *messages.ConfigPush) {
	for _, send := range broadcast.Split(push.ForwardTo, constants.BodyFanout) {
		go func() {
			for {
				part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: send.Pass}
				err := transport.Call(n.Transport, send.Address, messages.KindConfigPush, part, &messages.Ack{}, constants.CallTimeout)
				if err == nil || len(send.Pass) == 0 {
					return
				}
				// The next of the part takes the place of one that does not answer.
				send.Address, send.Pass = send.Pass[0], send.Pass[1:]
			}
		}()
	}
}

// ObserveGeneration pulls a configuration that somebody was seen to have.
func (n *Node) ObserveGeneration(generation int64) { n.ObserveGenerationAt(generation, "") }

// ObserveGenerationAt pulls a configuration that the process at an address was seen to have;
// it is asked first. The pull goes on until somebody gave that configuration or a newer
// one: a controller that is behind must not end it.
func (n *Node) ObserveGenerationAt(generation int64, address string) {
	n.lock.Lock()
	if n.pulling || (n.config != nil && n.config.Generation >= generation) || generation == 0 {
		n.lock.Unlock()
		return
	}
	n.pulling = true
	n.lock.Unlock()
	go func() {
		n.pullUntil(generation, address)
		n.lock.Lock()
		n.pulling = false
		n.lock.Unlock()
	}()
}

// pullUntil asks one process, then the controllers, until this process follows a
// generation, and tells whether any of them answered.
func (n *Node) pullUntil(generation int64, first string) bool {
	addresses := n.controllerAddresses()
	if first != "" {
		addresses = append([]string{first}, addresses...)
	}
	any := false
	for _, address := range addresses {
		if n.pullFrom(address, false) {
			any = true
		}
		if n.Generation() >= generation {
			break
		}
	}
	return any
}

// pullLinearizable asks controllers until one of them has read the configuration at a majority.
func (n *Node) pullLinearizable() bool {
	for _, address := range n.controllerAddresses() {
		if n.pullFrom(address, true) {
			return true
		}
	}
	return false
}

// controllerAddresses gives the controllers to ask: those that have just failed to
// answer, or are detached, come last.
func (n *Node) controllerAddresses() []string {
	var addresses []string
	n.Viewed(func(view *membership.View) {
		for _, entry := range view.Controllers(clock.Now()) {
			addresses = append(addresses, entry.Address)
		}
	})
	if len(addresses) == 0 {
		addresses = n.Settings.SeedAddresses(constants.PortController)
		rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	}
	return addresses
}

// pullFrom asks one process for its configuration, or for a read at a majority, and
// tells whether it answered.
func (n *Node) pullFrom(address string, settled bool) bool {
	req, timeout := &messages.ConfigPull{Known: n.Generation()}, constants.CallTimeout
	if settled {
		req.Known, timeout = -1, constants.RegisterTimeout
	}
	resp := &messages.ConfigPush{}
	if transport.Call(n.Transport, address, messages.KindConfigPull, req, resp, timeout) != nil {
		n.Viewed(func(view *membership.View) { view.Failed(address, clock.Now()) })
		return false
	}
	if resp.Generation > 0 {
		n.ApplyConfig(resp.Body)
	}
	return true
}

// PullFirst is how a starting process learns the configuration: from a majority,
// and only where none can be had for long, from whatever a controller knows.
func (n *Node) PullFirst(done func()) {
	const enough = 5_000_000_000
	start, backoff := clock.Now(), constants.StartBackoff
	for {
		select {
		case <-n.Stop:
			return
		default:
		}
		late := clock.Now().Sub(start) > enough
		if (n.pullLinearizable() || (late && n.pullUntil(math.MaxInt64, ""))) && n.Config() != nil {
			done()
			return
		}
		if n.Config() != nil && late {
			done()
			return
		}
		// The whole fleet may be asking a few controllers: the pause grows, and ends early
		// when a configuration is pushed.
		had := n.Config() != nil
		for slept := clock.Duration(0); slept < backoff && (had || n.Config() == nil); slept += constants.StartBackoff {
			clock.Sleep(constants.StartBackoff)
		}
		backoff = min(2*backoff, constants.StartBackoffMax)
	}
}
