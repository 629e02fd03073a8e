package admission

import (
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// If several processes place items, each keeps the floor of the workers it owns, so that together
// they keep one floor. BulkCapacity counts only workers that the request allows.
func TestPreemptionFloorCountsOwnedWorkers(t *testing.T) {
	const capacity = 100
	scheduler := newScheduler(t, capacity, "v", "w")
	req := &Request{Service: "s", Bulk: true, Priority: 2, Setpoint: 1, AllowedWorkers: map[string]bool{"w": true}}
	if scheduler.BulkCapacity(req, 1) != 1 {
		t.Fatal("BulkCapacity counted a worker outside AllowedWorkers, want 1 worker")
	}
	scheduler.SetOwnedWorkers(req.AllowedWorkers)
	yielded := 0
	for i := 0; i < 40; i++ {
		decision, _ := scheduler.Admit(req, nil, 10)
		if decision.Verdict != VerdictGranted || decision.Grant.Worker.ID != "w" {
			t.Fatalf("got %+v, want the item placed on the allowed worker w", decision)
		}
		decision.Grant.AllowPreemption(func() { yielded++ })
	}
	scheduler.YieldToPressure(&messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 90}}}, 1, 20)
	if share := constants.PreemptionFloor; yielded != 40-int(share*capacity)-1 {
		t.Fatalf("%d of 40 items yielded, want all but the floor (1 plus a share of %.2f of %d slots)",
			yielded, share, capacity)
	}
}
