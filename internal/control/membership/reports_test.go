package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func controllerEntry(name, zone string) messages.NodeInfo {
	return messages.NodeInfo{Name: name, Incarnation: 1, Role: RoleController, Zone: zone, Address: name + ":1"}
}

func order(view *View, now clock.Instant) (names string) {
	for _, entry := range view.Controllers(now) {
		names += entry.Name
	}
	return names
}

// TestControllerReportOrder checks that a process reports to the controllers of its own zone first,
// and last to those that recently failed to respond or are known to be silent.
func TestControllerReportOrder(t *testing.T) {
	own := entry("own", 1)
	own.Zone = "a"
	view := NewView(own, 1)
	for _, info := range []messages.NodeInfo{controllerEntry("p", "a"), controllerEntry("q", "a"), controllerEntry("r", "b")} {
		view.Observe([]messages.NodeInfo{info}, 0)
	}
	first := order(view, 0)
	if first[2] != 'r' {
		t.Fatalf("got report order %s, want r, of another zone, last", first)
	}
	address := string(first[0]) + ":1"
	view.Failed(address, 0)
	if got := order(view, 1); got != first[1:]+first[:1] {
		t.Fatalf("got report order %s after %c failed, want it last: %s", got, first[0], first[1:]+first[:1])
	}
	later := clock.Instant(0).Add(constants.SuspectAfter)
	view.NoteContact("foreman/r", later)
	if got := order(view, later); got[0] != 'r' {
		t.Fatal("silent controllers must come last: ", got)
	}
	view.NoteContact("foreman/"+string(first[0]), later)
	if got := order(view, later); got[0] != first[0] {
		t.Fatal("a controller that responds again must come first: ", got)
	}
}

// TestReportsFillAndRefreshView checks that a controller's responses fill an empty view to its bound,
// keep it fresh, and show a process that became silent by its age only.
func TestReportsFillAndRefreshView(t *testing.T) {
	const population = 120
	controller := controllerOf(population)
	own := entry("n0", 1)
	own.Zone = "a"
	view, now := NewView(own, 1), clock.Instant(0)
	report := func() {
		req := view.Report()
		view.HandleReportResponse(req, controller.RespondToReport(req, now), now)
	}
	for round := 0; round < 4; round++ {
		report()
	}
	checkFullView(t, view, population, now)
	// All processes but one continue to contact the controller.
	silent := view.All(RoleGateway, now)[0].Name
	for round := 0; round < 6; round++ {
		now = now.Add(constants.ShufflePeriod)
		for i := 0; i < population; i++ {
			if name := fmt.Sprint("n", i); name != silent {
				controller.NoteContact("forge/"+name, now)
			}
		}
		report()
	}
	for _, entry := range view.All(RoleGateway, now) {
		if live := entry.AgeMs < constants.SuspectAfter.Milliseconds(); live == (entry.Name == silent) {
			t.Fatalf("%s: last contact %d ms ago, want below %d ms for all but the silent %s",
				entry.Name, entry.AgeMs, constants.SuspectAfter.Milliseconds(), silent)
		}
	}
	// Without contact to a controller, processes that were live stay live.
	before := len(view.Live(RoleGateway, now))
	now = now.Add(10 * constants.ShufflePeriod)
	if got := len(view.Live(RoleGateway, now)); got != before {
		t.Fatalf("got %d live peers while no controller was in contact, want %d as before", got, before)
	}
}

// controllerOf returns the view of a controller that knows population gateways in four zones.
func controllerOf(population int) *View {
	controller := NewView(controllerEntry("f", "a"), 1)
	for i := 0; i < population; i++ {
		info := entry(fmt.Sprint("n", i), 1)
		info.Zone = []string{"a", "b", "c", "d"}[i%4]
		controller.Observe([]messages.NodeInfo{info}, 0)
	}
	return controller
}

// checkFullView checks that the view of a gateway in zone a is filled to its bound, with enough
// gateways of each zone.
func checkFullView(t *testing.T, view *View, population int, now clock.Instant) {
	t.Helper()

	zones := map[string]int{}
	for _, entry := range view.Live(RoleGateway, now) {
		zones[entry.Zone]++
	}
	size := ViewSize(population)
	if got := len(view.All(RoleGateway, now)); got != size || view.Population(RoleGateway, now) != population || zones["a"] < size-3*(constants.OtherZonePeersMin+1) {
		t.Fatalf("got %d gateways of a population of %d, by zone %v; want %d of %d, most in zone a", got, view.Population(RoleGateway, now), zones, size, population)
	}
	for zone, count := range zones {
		if count < constants.OtherZonePeersMin {
			t.Fatalf("got %d gateways of zone %s, want at least %d", count, zone, constants.OtherZonePeersMin)
		}
	}
}
