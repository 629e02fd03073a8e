package jointer

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

// standing makes placing parts of several processes that know each other, over the
// transport in memory.
func standing(test *testing.T, roles ...string) (*tongs.Room, []*Jointer) {
	room := tongs.NewRoom()
	var joined []*Jointer
	for place, role := range roles {
		settings := &boot.Boot{NodeName: fmt.Sprint("n", place), Hall: "h", Address: fmt.Sprint("10.0.0.", place+1), HeartbeatMs: 1200,
			InternalPorts: []int{100, 110}, Seeds: []string{"10.0.0.99:1"}}
		stand := trestle.New(settings, role, 1, "", hclog.NewNullLogger())
		stand.Wire = room.Transport(stand.Own.Address)
		joined = append(joined, New(stand))
	}
	for _, one := range joined {
		var others []pattern.Entry
		for _, other := range joined {
			if other != one {
				others = append(others, other.Stand.Own)
			}
		}
		one.Stand.Hear(others)
		one.Bench.Merge([]pattern.Worker{{ID: "w", Backend: "s", Hall: "h", Capacity: 1, Count: 1}}, watch.Now())
		one.lookAround()
	}
	return room, joined
}

// Pressure of one forge reaches lockers that run items, those that it does not tell
// itself as well, with a bounded number of words.
func TestPressureReachesLockers(test *testing.T) {
	const lockers = 6
	roles := []string{bellows.RoleForge}
	for place := 0; place < lockers; place++ {
		roles = append(roles, bellows.RoleLocker)
	}
	_, joined := standing(test, roles...)
	type word struct {
		name   string
		second bool
	}
	heard := make(chan word, 64)
	for _, one := range joined[1:] {
		name := one.Stand.Own.Name
		_ = one.Stand.Wire.Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
			told := &pattern.PressureTold{}
			_ = tongs.Read(body, told)
			heard <- word{name, told.Sharers == 0}
			return one.pressed(body)
		})
	}
	reached, words, second := map[string]bool{}, 0, 0
	for round := 0; round < 40 && len(reached) < lockers; round++ {
		joined[0].press([]pattern.Pressure{{Service: "s", Waiting: 1}})
		for wait := true; wait; {
			select {
			case one := <-heard:
				reached[one.name] = true
				words++
				if one.second {
					second++
				}
			case <-watch.After(20_000_000):
				wait = false
			}
		}
		// Three are told, and each may pass it to three.
		if words > (round+1)*12 {
			test.Fatalf("%d words in %d rounds", words, round+1)
		}
	}
	if len(reached) != lockers || second == 0 {
		test.Fatalf("reached %v, %d words were passed on", reached, second)
	}
}

// A gossip packet reaches the neighbours one way and counts there.
func TestGossipReachesNeighbours(test *testing.T) {
	_, joined := standing(test, bellows.RoleForge, bellows.RoleForge, bellows.RoleLocker)
	heard := make(chan bool, 8)
	for _, one := range joined[1:] {
		_ = one.Stand.Wire.Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
			answer, failure := one.gossiped(body)
			heard <- true
			return answer, failure
		})
	}
	joined[0].Bench.Locked(func() { joined[0].Bench.Gauge.Of("w").Load("7,0,1", watch.Now()) })
	joined[0].gossip()
	for range joined[1:] {
		select {
		case <-heard:
		case <-watch.After(5_000_000_000):
			test.Fatal("a neighbour heard nothing")
		}
	}
	for _, one := range joined[1:] {
		running := 0
		one.Bench.Locked(func() { running = one.Bench.Gauge.Of("w").Running(watch.Now()) })
		if running != 7 {
			test.Fatalf("%s takes the worker for one with %d", one.Stand.Own.Name, running)
		}
	}
}
