package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
)

func TestNeighboursAreStableAndOneIsRemote(t *testing.T) {
	own := entry("own", 1)
	own.Zone = "a"
	view := NewView(own, 1)
	for i := 0; i < 12; i++ {
		info := entry(fmt.Sprint("n", i), 1)
		info.Zone = []string{"a", "b"}[i%2]
		view.Observe([]messages.NodeInfo{info}, 0)
	}
	first := view.Neighbours(RoleGateway, 4, 0)
	remote := 0
	for _, info := range first {
		if info.Zone != "a" {
			remote++
		}
	}
	if len(first) != 4 || remote != 1 {
		t.Fatalf("got neighbours %v, %d of them in another zone, want 4 and 1", first, remote)
	}
	if again := view.Neighbours(RoleGateway, 4, 0); fmt.Sprint(again) != fmt.Sprint(first) {
		t.Fatal("second call returned different neighbours")
	}
	// A draining neighbour is replaced; the others stay.
	draining := first[0]
	draining.Draining = true
	view.Observe([]messages.NodeInfo{draining}, 1)
	next := view.Neighbours(RoleGateway, 4, 1)
	if len(next) != 4 || next[0].Name != first[1].Name || next[1].Name != first[2].Name {
		t.Fatalf("got neighbours %v after one of %v started to drain, want the others to stay and a new fourth", next, first)
	}
	if all := view.Neighbours(RoleGateway, 100, 1); len(all) != 11 || view.Population(RoleGateway, 1) != 13 {
		t.Fatalf("got %d neighbours and population %d, want 11 and 13", len(all), view.Population(RoleGateway, 1))
	}
}
