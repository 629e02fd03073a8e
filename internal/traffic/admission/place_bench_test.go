package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// BenchmarkPlacement is one short prompt placed and ended, by the size of its service.
func BenchmarkPlacement(b *testing.B) {
	for _, count := range []int{18, 60, 600} {
		b.Run(fmt.Sprint(count, "-workers"), func(b *testing.B) {
			one := New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h0"}, 1_200_000_000)
			config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":16,"cache-tokens":200000}}]}`))
			if err != nil {
				b.Fatal(err)
			}
			one.SetConfig(config)
			var list []messages.Worker
			for place := 0; place < count; place++ {
				list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", place), Backend: "s", Zone: fmt.Sprint("h", place%4), Capacity: 16, CallCount: 1})
			}
			one.Merge(list, 1)
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				now := clock.Instant(number+1) * 1_000_000
				answer, _ := one.Admit(ask(0), nil, now)
				answer.Grant.End(ResultServed, now+1000)
			}
		})
	}
}

// BenchmarkGossip is one second of talk: a packet made and four taken.
func BenchmarkGossip(b *testing.B) {
	for _, count := range []int{18, 60, 600} {
		b.Run(fmt.Sprint(count, "-workers"), func(b *testing.B) {
			one := New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h0"}, 1_200_000_000)
			var list []messages.Worker
			for place := 0; place < count; place++ {
				list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", place), Backend: "s", Zone: fmt.Sprint("h", place%4), Capacity: 16, CallCount: 1})
			}
			one.Merge(list, 1)
			b.ReportAllocs()
			for number := 1; b.Loop(); number++ {
				now := second(number)
				for peer := 0; peer < 4; peer++ {
					packet := &messages.Gossip{From: fmt.Sprint("forge/", peer)}
					for place := 0; place < min(count, 144); place++ {
						packet.Loads = messages.AppendLoad(packet.Loads, messages.LoadSample{WorkerHash: messages.WorkerHash(list[(place+peer*144)%count].ID), Running: 5, Health: messages.HealthUnknown})
					}
					one.Heard(packet, now)
				}
				one.Gossip(now + 1)
			}
		})
	}
}
