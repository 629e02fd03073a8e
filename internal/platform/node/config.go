package node

import (
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
	if push.Generation > runtime.Generation() {
		runtime.Take(push.Body)
	}
	return transport.Write(&messages.Nothing{Taken: true})
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
func (runtime *Node) SawGeneration(generation int64) {
	runtime.lock.Lock()
	if runtime.pulling || (runtime.config != nil && runtime.config.Generation >= generation) || generation == 0 {
		runtime.lock.Unlock()
		return
	}
	runtime.pulling = true
	runtime.lock.Unlock()
	go func() {
		runtime.Pull(false)
		runtime.lock.Lock()
		runtime.pulling = false
		runtime.lock.Unlock()
	}()
}

// Pull asks controllers for the newest configuration until one answers. settled asks
// for a read at a majority.
func (runtime *Node) Pull(settled bool) bool {
	question := &messages.ConfigPull{Known: runtime.Generation()}
	if settled {
		question.Known = -1
	}
	var addresses []string
	runtime.Viewed(func(view *membership.View) {
		// Those that have just failed to answer come last.
		for _, entry := range view.Controllers(clock.Now()) {
			addresses = append(addresses, entry.Address)
		}
	})
	if len(addresses) == 0 {
		addresses = runtime.Settings.SeedAddresses(constants.PortController)
		rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	}
	for _, address := range addresses {
		answer := &messages.ConfigPush{}
		span := constants.CallTime
		if settled {
			span = constants.RegisterTime
		}
		if transport.Ask(runtime.Wire, address, messages.KindConfigPull, question, answer, span) != nil {
			runtime.Viewed(func(view *membership.View) { view.Failed(address, clock.Now()) })
			continue
		}
		if answer.Generation > 0 {
			runtime.Take(answer.Body)
		}
		return true
	}
	return false
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
		if (runtime.Pull(true) || (late && runtime.Pull(false))) && runtime.Config() != nil {
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
