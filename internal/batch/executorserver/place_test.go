package executorserver

import (
	"fmt"
	"testing"
)

// Every worker has one owner, which is in the worker's zone if that zone has a store. If a store leaves,
// only the workers that it owned get another owner.
func TestEveryWorkerHasOneOwner(t *testing.T) {
	stores := map[string]string{"l1": "a", "l2": "a", "l3": "b", "l4": "b", "l5": "b"}
	counts := map[string]int{}
	for number := 0; number < 600; number++ {
		worker, zone := fmt.Sprint("i-", number), []string{"a", "b", "c"}[number%3]
		first := owner(worker, zone, stores)
		counts[first]++
		if stores[first] != zone && zone != "c" {
			t.Fatalf("worker %s of zone %s is owned by %s in zone %s, want a store in its zone",
				worker, zone, first, stores[first])
		}
		remaining := map[string]string{}
		for name, storeZone := range stores {
			if name != "l3" {
				remaining[name] = storeZone
			}
		}
		if second := owner(worker, zone, remaining); first != "l3" && second != first {
			t.Fatalf("worker %s is owned by %s after l3 left, want %s as before", worker, second, first)
		}
	}
	for name, count := range counts {
		if count < 60 {
			t.Fatalf("store %s owns %d of 600 workers, want at least 60", name, count)
		}
	}
	if len(counts) != len(stores) || owner("w", "h", map[string]string{"me": "x"}) != "me" {
		t.Fatalf("workers per store are %v; want %d stores with workers, and a single store as owner in any zone",
			counts, len(stores))
	}
}
