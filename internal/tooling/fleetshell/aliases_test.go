package fleetshell

import "testing"

// The earlier names of queries lead to queries, and no name has two meanings.
func TestAliasesLeadToQueries(t *testing.T) {
	for _, old := range []string{"duty", "lots", "pace", "displacement"} {
		name, known := Aliases[old]
		if !known {
			t.Errorf("%s is no alias", old)
		}
		if query, found := Queries[name]; !found || query.Wire != old {
			t.Errorf("%s leads to %s, which is sent as %q", old, name, query.Wire)
		}
		if _, found := Queries[old]; found {
			t.Errorf("%s is a query and an alias", old)
		}
	}
}
