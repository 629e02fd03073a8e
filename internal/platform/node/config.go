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
func (runtime *Node) OnConfig(function func(*routeconfig.Config)) {
	runtime.onConfig = append(runtime.onConfig, function)
}

// Config is the newest configuration known here, or nil.
func (runtime *Node) Config() *routeconfig.Config {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.config
}

// Generation is its number.
func (runtime *Node) Generation() int64 {
	if config := runtime.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// Take puts a chosen configuration in force, never an older one.
func (runtime *Node) Take(body []byte) {
	config, err := routeconfig.Parse(body)
	if err != nil {
		runtime.Log.Error("configuration unreadable", "why", err.Error())
		return
	}
	runtime.lock.Lock()
	if runtime.config != nil && runtime.config.Generation >= config.Generation {
		runtime.lock.Unlock()
		return
	}
	runtime.config = config
	runtime.view.SetGeneration(config.Generation)
	runtime.lock.Unlock()
	runtime.Log.Info("configuration taken", "generation", config.Generation, "routes", len(config.Routes))
	for _, function := range runtime.onConfig {
		function(config)
	}
}

func (runtime *Node) pushed(body []byte) ([]byte, error) {
	push := &messages.ConfigPush{}
	if err := transport.Read(body, push); err != nil {
		return nil, err
	}
	if len(push.Pass) > 0 {
		go runtime.passOn(push)
	}
	if push.Generation > runtime.Generation() && len(push.Body) > 0 {
		runtime.Take(push.Body)
	}
	// A push without a body only says that there is one.
	runtime.SawGeneration(push.Generation)
	return transport.Write(&messages.Nothing{Taken: runtime.Generation() >= push.Generation})
}

// pulled answers another process that has seen this one follow a newer configuration.
// What is followed here was chosen. Controllers answer for themselves.
func (runtime *Node) pulled(_ []byte) ([]byte, error) {
	config := runtime.Config()
	if config == nil {
		return nil, Unable.New("no configuration yet")
	}
	return transport.Write(&messages.ConfigPush{Generation: config.Generation, Body: config.Body})
}

// passOn sends a configuration on to the part of the zone that came with it, through a
// few of that part, so that no single link carries it all. Whoever is missed pulls it on
// seeing the newer generation.
func (runtime *Node) passOn(push *messages.ConfigPush) {
	for _, send := range broadcast.Split(push.Pass, constants.BodyFan) {
		go func() {
			for {
				part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, Pass: send.Pass}
				err := transport.Ask(runtime.Wire, send.Address, messages.KindConfigPush, part, &messages.Nothing{}, constants.CallTime)
				if err == nil || len(send.Pass) == 0 {
					return
				}
				// The next of the part takes the place of one that does not answer.
				send.Address, send.Pass = send.Pass[0], send.Pass[1:]
			}
		}()
	}
}

// SawGeneration pulls a configuration that somebody was seen to have.
func (runtime *Node) SawGeneration(generation int64) { runtime.SawGenerationAt(generation, "") }

// SawGenerationAt pulls a configuration that the process at an address was seen to have;
// it is asked first. The pull goes on until somebody gave that configuration or a newer
// one: a controller that is behind must not end it.
func (runtime *Node) SawGenerationAt(generation int64, address string) {
	runtime.lock.Lock()
	if runtime.pulling || (runtime.config != nil && runtime.config.Generation >= generation) || generation == 0 {
		runtime.lock.Unlock()
		return
	}
	runtime.pulling = true
	runtime.lock.Unlock()
	go func() {
		runtime.pullUntil(generation, address)
		runtime.lock.Lock()
		runtime.pulling = false
		runtime.lock.Unlock()
	}()
}

// pullUntil asks one process, then the controllers, until this process follows a
// generation, and tells whether any of them answered.
func (runtime *Node) pullUntil(generation int64, first string) bool {
	addresses := runtime.controllerAddresses()
	if first != "" {
		addresses = append([]string{first}, addresses...)
	}
	any := false
	for _, address := range addresses {
		if runtime.pullFrom(address, false) {
			any = true
		}
		if runtime.Generation() >= generation {
			break
		}
	}
	return any
}

// pullSettled asks controllers until one of them has read the configuration at a majority.
func (runtime *Node) pullSettled() bool {
	for _, address := range runtime.controllerAddresses() {
		if runtime.pullFrom(address, true) {
			return true
		}
	}
	return false
}

// controllerAddresses gives the controllers to ask: those that have just failed to
// answer, or are detached, come last.
func (runtime *Node) controllerAddresses() []string {
	var addresses []string
	runtime.Viewed(func(view *membership.View) {
		for _, entry := range view.Controllers(clock.Now()) {
			addresses = append(addresses, entry.Address)
		}
	})
	if len(addresses) == 0 {
		addresses = runtime.Settings.SeedAddresses(constants.PortController)
		rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	}
	return addresses
}

// pullFrom asks one process for its configuration, or for a read at a majority, and
// tells whether it answered.
func (runtime *Node) pullFrom(address string, settled bool) bool {
	question, span := &messages.ConfigPull{Known: runtime.Generation()}, constants.CallTime
	if settled {
		question.Known, span = -1, constants.RegisterTime
	}
	answer := &messages.ConfigPush{}
	if transport.Ask(runtime.Wire, address, messages.KindConfigPull, question, answer, span) != nil {
		runtime.Viewed(func(view *membership.View) { view.Failed(address, clock.Now()) })
		return false
	}
	if answer.Generation > 0 {
		runtime.Take(answer.Body)
	}
	return true
}

// PullFirst is how a starting process learns the configuration: from a majority,
// and only where none can be had for long, from whatever a controller knows.
func (runtime *Node) PullFirst(done func()) {
	const enough = 5_000_000_000
	begun, pause := clock.Now(), constants.StartPause
	for {
		select {
		case <-runtime.Stop:
			return
		default:
		}
		late := clock.Now().Since(begun) > enough
		if (runtime.pullSettled() || (late && runtime.pullUntil(math.MaxInt64, ""))) && runtime.Config() != nil {
			done()
			return
		}
		if runtime.Config() != nil && late {
			done()
			return
		}
		// The whole fleet may be asking a few controllers: the pause grows, and ends early
		// when a configuration is pushed.
		had := runtime.Config() != nil
		for slept := clock.Span(0); slept < pause && (had || runtime.Config() == nil); slept += constants.StartPause {
			clock.Sleep(constants.StartPause)
		}
		pause = min(2*pause, constants.StartPauseMost)
	}
}
