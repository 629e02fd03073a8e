package routeconfig

import "testing"

// A route that states no retain-s gives nothing up for its age.
func TestRetain(test *testing.T) {
	without, with := Route{}, Route{RetainS: 5}
	if without.Retain().Hours() < 1 || with.Retain().Seconds() != 5 {
		test.Fatal(without.Retain(), with.Retain())
	}
}

func TestUnknownKindsAreTreatedWithCare(test *testing.T) {
	route := Route{KindName: "of-a-later-version"}
	if route.Kind().String() != "RouteEffectful" {
		test.Fatal(route.Kind())
	}
}
