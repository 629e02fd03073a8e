package admission

import (
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Of several processes that place items each keeps the floor of its own workers, so
// that together they keep one.
func TestTheFloorIsOfTheOwnWorkers(t *testing.T) {
	const capacity = 100
	scheduler := scheduler(t, capacity, "v", "w")
	ask := &Ask{Service: "s", Bulk: true, Priority: 2, Setpoint: 1, Among: map[string]bool{"w": true}}
	if scheduler.BulkRoom(ask, 1) != 1 {
		t.Fatal("room at other workers than the own")
	}
	scheduler.SetBulkOwn(ask.Among)
	yielded := 0
	for place := 0; place < 40; place++ {
		answer, _ := scheduler.Admit(ask, nil, 10)
		if answer.Verdict != VerdictGranted || answer.Grant.Worker.ID != "w" {
			t.Fatal("placed elsewhere or not at all: ", answer.Verdict)
		}
		answer.Grant.MayYield(func() { yielded++ })
	}
	scheduler.Pressed(&messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 90}}}, 1, 20)
	if share := constants.PreemptionFloor; yielded != 40-int(share*capacity)-1 {
		t.Fatal("yielded ", yielded)
	}
}
