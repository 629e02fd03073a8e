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
			t.Fatal("worker has an owner in another zone: ", worker, first)
		}
		remaining := map[string]string{}
		for name, storeZone := range stores {
			if name != "l3" {
				remaining[name] = storeZone
			}
		}
		if second := owner(worker, zone, remaining); first != "l3" && second != first {
			t.Fatal("owner changed although it did not leave: ", worker)
		}
	}
	for name, count := range counts {
		if count < 60 {
			t.Fatal("store owns fewer than 60 workers: ", name, counts)
		}
	}
	if len(counts) != len(stores) || owner("w", "h", map[string]string{"me": "x"}) != "me" {
		t.Fatal("a store owns no worker, or a single store does not own its worker: ", counts)
	}
}
