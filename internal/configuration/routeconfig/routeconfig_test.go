package routeconfig

import "testing"

// A route without retain-s retains items for a long time, at least an hour.
func TestRetain(t *testing.T) {
	byDefault, configured := Route{}, Route{RetainS: 5}
	if byDefault.Retain().Hours() < 1 || configured.Retain().Seconds() != 5 {
		t.Fatal("default and configured time, want at least 1 h and 5 s: ", byDefault.Retain(), configured.Retain())
	}
}

func TestUnknownKindsAreTreatedWithCare(t *testing.T) {
	route := Route{KindName: "of-a-later-version"}
	if route.Kind().String() != "RouteEffectful" {
		t.Fatal("an unknown kind was not treated as effectful: ", route.Kind())
	}
}
