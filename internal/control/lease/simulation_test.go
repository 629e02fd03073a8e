package lease_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Three acceptors grant one held to three candidates under loss, delay, doubled
// messages, cuts and restarts of acceptors: at no moment do two holds stand.
func TestOneValidLeaseUnderFaults(t *testing.T) {
	taken := 0
	for seed := int64(1); seed <= 80; seed++ {
		world := simulation.NewWorld(seed)
		world.Loss, world.Double = 0.1, 0.05
		nodes := []string{"a", "b", "c"}
		grants := map[string]*lease.Grantor{}
		holds := map[string]*lease.Lease{}
		for _, name := range nodes {
			grants[name] = lease.NewGrantor(world.Now, true)
			holds[name] = &lease.Lease{}
		}
		found := messages.Leadership{}
		var campaign func(name string)
		campaign = func(name string) {
			backoff := constants.LeaseRenewPeriod + clock.Duration(world.Random.Int63n(int64(constants.LeaseRenewPeriod)))
			world.After(backoff, func() { campaign(name) })
			sentAt, granted, over := world.Now, map[string]bool{}, false
			req := messages.LeaseRequest{Candidate: name, Incarnation: 1, Epoch: found.Epoch}
			for _, acceptor := range nodes {
				world.Send(name, acceptor, func() {
					resp := grants[acceptor].Grant(req, found, world.Now)
					world.Send(acceptor, name, func() {
						if !resp.Granted || over {
							return
						}
						if granted[acceptor] = true; len(granted) == 2 {
							over = true
							if found.Holder != name {
								// The register raises the epoch; an older question loses there.
								if req.Epoch != found.Epoch {
									return
								}
								found = messages.Leadership{Holder: name, Incarnation: 1, Epoch: found.Epoch + 1}
								taken++
							}
							holds[name].Renewed(sentAt)
						}
					})
				})
			}
		}
		for _, name := range nodes {
			world.After(clock.Duration(world.Random.Int63n(int64(constants.LeaseDuration))), func() { campaign(name) })
		}
		for step := 0; step < 400; step++ {
			world.Run(world.Now.Add(clock.Milliseconds(50)))
			standing := 0
			for _, name := range nodes {
				if holds[name].Valid(world.Now) {
					standing++
				}
			}
			if standing > 1 {
				t.Fatalf("seed %d: %d holds stand at once", seed, standing)
			}
			switch world.Random.Intn(40) {
			case 0:
				// An acceptor forgets what it granted; it is silent for one own.
				grants[nodes[world.Random.Intn(3)]] = lease.NewGrantor(world.Now, false)
			case 1:
				truncated := nodes[world.Random.Intn(3)]
				world.Isolate(truncated, nodes, true)
				world.After(3*constants.LeaseDuration, func() { world.Isolate(truncated, nodes, false) })
			}
		}
	}
	if taken < 160 {
		t.Fatal(fmt.Sprint("the held changed hands only ", taken, " times"))
	}
}
