package workbench

import (
	"fmt"
	"testing"

	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// BenchmarkPlacement is one short prompt placed and ended, by the size of its service.
func BenchmarkPlacement(bench *testing.B) {
	for _, count := range []int{18, 60, 600} {
		bench.Run(fmt.Sprint(count, "-workers"), func(bench *testing.B) {
			one := New(pattern.Entry{Name: "n", Role: "forge", Hall: "h0"}, 1_200_000_000)
			config, failure := jig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":16,"cache-tokens":200000}}]}`))
			if failure != nil {
				bench.Fatal(failure)
			}
			one.SetConfig(config)
			var list []pattern.Worker
			for place := 0; place < count; place++ {
				list = append(list, pattern.Worker{ID: fmt.Sprintf("i-%04d", place), Backend: "s", Hall: fmt.Sprint("h", place%4), Capacity: 16, Count: 1})
			}
			one.Merge(list, 1)
			bench.ReportAllocs()
			for number := 0; bench.Loop(); number++ {
				now := watch.Moment(number+1) * 1_000_000
				answer, _ := one.Admit(ask(0), nil, now)
				answer.Grant.End(OutcomeServed, now+1000)
			}
		})
	}
}

// BenchmarkGossip is one second of talk: a packet made and four taken.
func BenchmarkGossip(bench *testing.B) {
	for _, count := range []int{18, 60, 600} {
		bench.Run(fmt.Sprint(count, "-workers"), func(bench *testing.B) {
			one := New(pattern.Entry{Name: "n", Role: "forge", Hall: "h0"}, 1_200_000_000)
			var list []pattern.Worker
			for place := 0; place < count; place++ {
				list = append(list, pattern.Worker{ID: fmt.Sprintf("i-%04d", place), Backend: "s", Hall: fmt.Sprint("h", place%4), Capacity: 16, Count: 1})
			}
			one.Merge(list, 1)
			bench.ReportAllocs()
			for number := 1; bench.Loop(); number++ {
				now := second(number)
				for peer := 0; peer < 4; peer++ {
					packet := &pattern.Gossip{From: fmt.Sprint("forge/", peer)}
					for place := 0; place < min(count, 144); place++ {
						packet.Loads = pattern.AppendLoad(packet.Loads, pattern.LoadWord{Name: pattern.WorkerName(list[(place+peer*144)%count].ID), Running: 5, Trust: pattern.TrustNone})
					}
					one.Heard(packet, now)
				}
				one.Gossip(now + 1)
			}
		})
	}
}
