package routeconfig

import "testing"

// TestRetainDefaultAndOverride checks that a route without retain-s does not give up items early: its
// default is at least an hour. A configured value is used as it is.
func TestRetainDefaultAndOverride(t *testing.T) {
	byDefault, configured := Route{}, Route{RetainS: 5}
	if byDefault.Retain().Hours() < 1 || configured.Retain().Seconds() != 5 {
		t.Fatalf("default %v, want at least 1 h; configured %v, want 5 s", byDefault.Retain(), configured.Retain())
	}
}

func TestUnknownKindIsEffectful(t *testing.T) {
	route := Route{KindName: "of-a-later-version"}
	if route.Kind().String() != "RouteEffectful" {
		t.Fatalf("kind of an unknown name is %v, want RouteEffectful", route.Kind())
	}
}
