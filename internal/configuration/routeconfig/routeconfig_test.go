package routeconfig

import "testing"

// A route without retain-s does not give up items because of their age.
func TestRetain(t *testing.T) {
	without, with := Route{}, Route{RetainS: 5}
	if without.Retain().Hours() < 1 || with.Retain().Seconds() != 5 {
		t.Fatal(without.Retain(), with.Retain())
	}
}

func TestUnknownKindsAreTreatedWithCare(t *testing.T) {
	route := Route{KindName: "of-a-later-version"}
	if route.Kind().String() != "RouteEffectful" {
		t.Fatal(route.Kind())
	}
}
