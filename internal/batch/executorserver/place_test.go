package executorserver

import (
	"fmt"
	"testing"
)

// Every worker has one owner, in its own zone where there is one, and an executor that
// goes away leaves only its own workers to others.
func TestEveryWorkerHasOneOwner(t *testing.T) {
	stores := map[string]string{"l1": "a", "l2": "a", "l3": "b", "l4": "b", "l5": "b"}
	counts := map[string]int{}
	for number := 0; number < 600; number++ {
		worker, zone := fmt.Sprint("i-", number), []string{"a", "b", "c"}[number%3]
		first := owner(worker, zone, stores)
		counts[first]++
		if stores[first] != zone && zone != "c" {
			t.Fatal("owned from another zone: ", worker, first)
		}
		fewer := map[string]string{}
		for name, at := range stores {
			if name != "l3" {
				fewer[name] = at
			}
		}
		if second := owner(worker, zone, fewer); first != "l3" && second != first {
			t.Fatal("a worker changed its owner for no cause: ", worker)
		}
	}
	for name, count := range counts {
		if count < 60 {
			t.Fatal("unevenly owned: ", name, counts)
		}
	}
	if len(counts) != len(stores) || owner("w", "h", map[string]string{"me": "x"}) != "me" {
		t.Fatal("somebody owns nothing: ", counts)
	}
}
