package ledgerbox

import "testing"

// A new life of a driver says that its old one is gone: its items come back at once.
func TestNewLifeGivesItemsBack(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a", "b")
	one := desk.take("x", 1, ms(1))[0]
	desk.take("y", 1, ms(1))
	desk.Heard(Driver{Name: "x", Life: one.Driver.Life}, ms(2))
	if desk.Lapse(ms(3)) != 0 {
		test.Fatal("the same life lost its items")
	}
	desk.Heard(Driver{Name: "x", Life: one.Driver.Life + 1}, ms(4))
	// Late word of the old life changes nothing.
	desk.Heard(Driver{Name: "x", Life: one.Driver.Life}, ms(5))
	if desk.Lapse(ms(5)) != 1 || desk.Live() != 1 || len(desk.take("y", 2, ms(500))) != 1 {
		test.Fatal("the old life's item did not come back, or another's did")
	}
}

func TestListOfDrivers(test *testing.T) {
	desk := newDesk(test, 3, nil, ms(1000))
	desk.Heard(Driver{Name: "b", Hall: "h"}, ms(1100))
	if version, list := desk.Drivers(0, ms(1200)); version != 0 || list != nil {
		test.Fatal("told before every driver had spoken")
	}
	desk.Heard(Driver{Name: "a", Hall: "h"}, ms(4000))
	desk.Heard(Driver{Name: "b", Hall: "h"}, ms(4000))
	version, list := desk.Drivers(0, ms(4000))
	if len(list) != 2 || list[0].Name != "a" || list[0].Hall != "h" {
		test.Fatal(list)
	}
	if _, again := desk.Drivers(version, ms(4000)); again != nil {
		test.Fatal("told again to who knows it")
	}
	desk.Heard(Driver{Name: "a"}, ms(5000))
	if !desk.Quiet(ms(5200)) || desk.Quiet(ms(5200)) {
		test.Fatal("a silent driver stays")
	}
	if later, list := desk.Drivers(version, ms(5200)); later <= version || len(list) != 1 || list[0].Name != "a" {
		test.Fatal(later, list)
	}
	desk.Left(Driver{Name: "a"})
	if _, list := desk.Drivers(version, ms(5200)); len(list) != 0 {
		test.Fatal("a driver that left is on the list")
	}
}
