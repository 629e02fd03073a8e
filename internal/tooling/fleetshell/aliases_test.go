package fleetshell

import "testing"

// The earlier names of queries lead to queries, and no name has two meanings.
func TestAliasesLeadToQueries(t *testing.T) {
	for _, old := range []string{"duty", "lots", "pace", "displacement"} {
		name, isAlias := Aliases[old]
		if !isAlias {
			t.Errorf("%s is no alias", old)
		}
		if query, found := Queries[name]; !found || query.WireName != old {
			t.Errorf("%s leads to %s, which is sent as %q", old, name, query.WireName)
		}
		if _, found := Queries[old]; found {
			t.Errorf("%s is a query and an alias", old)
		}
	}
}
