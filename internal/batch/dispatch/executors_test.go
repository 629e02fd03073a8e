package dispatch

import "testing"

// A new incarnation of an executor implies that the old one has ended: its locks expire at once.
func TestNewIncarnationReleasesItems(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a", "b")
	acquisition := dispatcher.acquire("x", 1, ms(1))[0]
	dispatcher.acquire("y", 1, ms(1))
	dispatcher.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation}, ms(2))
	if dispatcher.ExpireLocks(ms(3)) != 0 {
		t.Fatal("acquisition of the same incarnation expired")
	}
	dispatcher.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation + 1}, ms(4))
	// A late message of the old incarnation changes nothing.
	dispatcher.ObserveExecutor(Executor{Name: "x", Incarnation: acquisition.Executor.Incarnation}, ms(5))
	if dispatcher.ExpireLocks(ms(5)) != 1 || dispatcher.InFlight() != 1 || len(dispatcher.acquire("y", 2, ms(500))) != 1 {
		t.Fatal("want only the acquisition of the old incarnation to expire")
	}
}

// Executors divide the workers according to this list. It must not be sent before every executor had
// time to make contact, and must not contain one that has stopped or is draining: its workers would
// get no items.
func TestExecutorListContainsThoseInContact(t *testing.T) {
	dispatcher := newTestDispatcher(t, 3, nil, ms(1000))
	dispatcher.ObserveExecutor(Executor{Name: "b", Zone: "h"}, ms(1100))
	if version, list := dispatcher.Executors(0, ms(1200)); version != 0 || list != nil {
		t.Fatal("list sent before every executor had time to make contact")
	}
	dispatcher.ObserveExecutor(Executor{Name: "a", Zone: "h"}, ms(4000))
	dispatcher.ObserveExecutor(Executor{Name: "b", Zone: "h"}, ms(4000))
	version, list := dispatcher.Executors(0, ms(4000))
	if len(list) != 2 || list[0].Name != "a" || list[0].Zone != "h" {
		t.Fatalf("got executors %v, want a in zone h and b", list)
	}
	if _, repeated := dispatcher.Executors(version, ms(4000)); repeated != nil {
		t.Fatal("list sent to an executor that has this version")
	}
	dispatcher.ObserveExecutor(Executor{Name: "a"}, ms(5000))
	if !dispatcher.ExpireExecutors(ms(5200)) || dispatcher.ExpireExecutors(ms(5200)) {
		t.Fatal("executor without contact was not removed exactly once")
	}
	if later, list := dispatcher.Executors(version, ms(5200)); later <= version || len(list) != 1 || list[0].Name != "a" {
		t.Fatalf("got version %d and executors %v, want a version above %d and only a", later, list, version)
	}
	dispatcher.RemoveExecutor(Executor{Name: "a"})
	if _, list := dispatcher.Executors(version, ms(5200)); len(list) != 0 {
		t.Fatal("removed executor is on the list")
	}
}
