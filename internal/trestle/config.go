package trestle

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/jig"
	"lemonarch/internal/manifold"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// OnConfig registers who is told of newer configurations.
func (trestle *Trestle) OnConfig(function func(*jig.Config)) {
	trestle.onConfig = append(trestle.onConfig, function)
}

// Config is the newest configuration known here, or nil.
func (trestle *Trestle) Config() *jig.Config {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.config
}

// Generation is its number.
func (trestle *Trestle) Generation() int64 {
	if config := trestle.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// Take puts a chosen configuration in force, never an older one.
func (trestle *Trestle) Take(body []byte) {
	config, failure := jig.Parse(body)
	if failure != nil {
		trestle.Log.Error("configuration unreadable", "why", failure.Error())
		return
	}
	trestle.lock.Lock()
	if trestle.config != nil && trestle.config.Generation >= config.Generation {
		trestle.lock.Unlock()
		return
	}
	trestle.config = config
	trestle.view.SetGeneration(config.Generation)
	trestle.lock.Unlock()
	trestle.Log.Info("configuration taken", "generation", config.Generation, "routes", len(config.Routes))
	for _, function := range trestle.onConfig {
		function(config)
	}
}

func (trestle *Trestle) pushed(body []byte) ([]byte, error) {
	push := &pattern.ConfigPush{}
	if failure := tongs.Read(body, push); failure != nil {
		return nil, failure
	}
	if len(push.Pass) > 0 {
		go trestle.passOn(push)
	}
	if push.Generation > trestle.Generation() {
		trestle.Take(push.Body)
	}
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// passOn sends a configuration on to the part of the hall that came with it, through a
// few of that part, so that no single link carries it all. Whoever is missed pulls it on
// seeing the newer generation.
func (trestle *Trestle) passOn(push *pattern.ConfigPush) {
	for _, send := range manifold.Split(push.Pass, almanac.BodyFan) {
		go func() {
			for {
				part := &pattern.ConfigPush{Generation: push.Generation, Body: push.Body, Pass: send.Pass}
				failure := tongs.Ask(trestle.Wire, send.Address, pattern.KindConfigPush, part, &pattern.Nothing{}, almanac.CallTime)
				if failure == nil || len(send.Pass) == 0 {
					return
				}
				// The next of the part takes the place of one that does not answer.
				send.Address, send.Pass = send.Pass[0], send.Pass[1:]
			}
		}()
	}
}

// SawGeneration pulls a configuration that somebody was seen to have.
func (trestle *Trestle) SawGeneration(generation int64) {
	trestle.lock.Lock()
	if trestle.pulling || (trestle.config != nil && trestle.config.Generation >= generation) || generation == 0 {
		trestle.lock.Unlock()
		return
	}
	trestle.pulling = true
	trestle.lock.Unlock()
	go func() {
		trestle.Pull(false)
		trestle.lock.Lock()
		trestle.pulling = false
		trestle.lock.Unlock()
	}()
}

// Pull asks foremen for the newest configuration until one answers. settled asks
// for a read at a majority.
func (trestle *Trestle) Pull(settled bool) bool {
	question := &pattern.ConfigPull{Known: trestle.Generation()}
	if settled {
		question.Known = -1
	}
	var addresses []string
	trestle.Viewed(func(view *bellows.View) {
		// Those that have just failed to answer come last.
		for _, entry := range view.Foremen(watch.Now()) {
			addresses = append(addresses, entry.Address)
		}
	})
	if len(addresses) == 0 {
		addresses = trestle.Boot.SeedAddresses(almanac.PortForeman)
		rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	}
	for _, address := range addresses {
		answer := &pattern.ConfigPush{}
		span := almanac.CallTime
		if settled {
			span = almanac.RegisterTime
		}
		if tongs.Ask(trestle.Wire, address, pattern.KindConfigPull, question, answer, span) != nil {
			trestle.Viewed(func(view *bellows.View) { view.Failed(address, watch.Now()) })
			continue
		}
		if answer.Generation > 0 {
			trestle.Take(answer.Body)
		}
		return true
	}
	return false
}

// PullFirst is how a starting process learns the configuration: from a majority,
// and only where none can be had for long, from whatever a foreman knows.
func (trestle *Trestle) PullFirst(done func()) {
	const enough = 5_000_000_000
	begun, pause := watch.Now(), almanac.StartPause
	for {
		select {
		case <-trestle.Stop:
			return
		default:
		}
		late := watch.Now().Since(begun) > enough
		if (trestle.Pull(true) || (late && trestle.Pull(false))) && trestle.Config() != nil {
			done()
			return
		}
		if trestle.Config() != nil && late {
			done()
			return
		}
		// The whole fleet may be asking a few foremen: the pause grows, and ends early
		// when a configuration is pushed.
		had := trestle.Config() != nil
		for slept := watch.Span(0); slept < pause && (had || trestle.Config() == nil); slept += almanac.StartPause {
			watch.Sleep(almanac.StartPause)
		}
		pause = min(2*pause, almanac.StartPauseMost)
	}
}
