package dispatch

import "testing"

// A new incarnation of an executor says that its old one is gone: its items come back at once.
func TestNewIncarnationReleasesItems(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a", "b")
	acquisition := endpoint.take("x", 1, ms(1))[0]
	endpoint.take("y", 1, ms(1))
	endpoint.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation}, ms(2))
	if endpoint.ExpireLocks(ms(3)) != 0 {
		t.Fatal("the same life lost its items")
	}
	endpoint.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation + 1}, ms(4))
	// Late word of the old incarnation changes nothing.
	endpoint.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation}, ms(5))
	if endpoint.ExpireLocks(ms(5)) != 1 || endpoint.InFlight() != 1 || len(endpoint.take("y", 2, ms(500))) != 1 {
		t.Fatal("the old life's item did not come back, or another's did")
	}
}

func TestExecutorList(t *testing.T) {
	endpoint := newEndpoint(t, 3, nil, ms(1000))
	endpoint.ObserveExecutor(Executor{Name: "b", Zone: "h"}, ms(1100))
	if version, list := endpoint.Executors(0, ms(1200)); version != 0 || list != nil {
		t.Fatal("told before every driver had spoken")
	}
	endpoint.ObserveExecutor(Executor{Name: "a", Zone: "h"}, ms(4000))
	endpoint.ObserveExecutor(Executor{Name: "b", Zone: "h"}, ms(4000))
	version, list := endpoint.Executors(0, ms(4000))
	if len(list) != 2 || list[0].Name != "a" || list[0].Zone != "h" {
		t.Fatal(list)
	}
	if _, again := endpoint.Executors(version, ms(4000)); again != nil {
		t.Fatal("told again to who knows it")
	}
	endpoint.ObserveExecutor(Executor{Name: "a"}, ms(5000))
	if !endpoint.ExpireExecutors(ms(5200)) || endpoint.ExpireExecutors(ms(5200)) {
		t.Fatal("a silent driver stays")
	}
	if later, list := endpoint.Executors(version, ms(5200)); later <= version || len(list) != 1 || list[0].Name != "a" {
		t.Fatal(later, list)
	}
	endpoint.RemoveExecutor(Executor{Name: "a"})
	if _, list := endpoint.Executors(version, ms(5200)); len(list) != 0 {
		t.Fatal("a driver that left is on the list")
	}
}
