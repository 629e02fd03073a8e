package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// BenchmarkPlacement measures placing and ending one short prompt, for several numbers of workers.
func BenchmarkPlacement(b *testing.B) {
	for _, count := range []int{18, 60, 600} {
		b.Run(fmt.Sprint(count, "-workers"), func(b *testing.B) {
			scheduler := New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h0"}, 1_200_000_000)
			config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":16,"cache-tokens":200000}}]}`))
			if err != nil {
				b.Fatal(err)
			}
			scheduler.SetConfig(config)
			var list []messages.Worker
			for i := 0; i < count; i++ {
				list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", i), Backend: "s", Zone: fmt.Sprint("h", i%4), Capacity: 16, CallCount: 1})
			}
			scheduler.Merge(list, 1)
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				now := clock.Instant(number+1) * 1_000_000
				decision, _ := scheduler.Admit(newRequest(0), nil, now)
				decision.Grant.End(ResultServed, now+1000)
			}
		})
	}
}

// BenchmarkGossip measures one second of gossip: building one packet and handling four.
func BenchmarkGossip(b *testing.B) {
	for _, count := range []int{18, 60, 600} {
		b.Run(fmt.Sprint(count, "-workers"), func(b *testing.B) {
			scheduler := New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h0"}, 1_200_000_000)
			var list []messages.Worker
			for i := 0; i < count; i++ {
				list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", i), Backend: "s", Zone: fmt.Sprint("h", i%4), Capacity: 16, CallCount: 1})
			}
			scheduler.Merge(list, 1)
			b.ReportAllocs()
			for number := 1; b.Loop(); number++ {
				now := atSecond(number)
				for peer := 0; peer < 4; peer++ {
					packet := &messages.Gossip{From: fmt.Sprint("forge/", peer)}
					for i := 0; i < min(count, 144); i++ {
						packet.Loads = messages.AppendLoad(packet.Loads, messages.LoadSample{WorkerHash: messages.WorkerHash(list[(i+peer*144)%count].ID), Running: 5, Health: messages.HealthUnknown})
					}
					scheduler.HandleGossip(packet, now)
				}
				scheduler.MakeGossip(now + 1)
			}
		})
	}
}
