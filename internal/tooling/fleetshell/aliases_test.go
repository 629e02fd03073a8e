package fleetshell

import "testing"

// TestAliasesLeadToQueries checks that each earlier name of a query is an alias of a query, and that no
// name is both a query and an alias.
func TestAliasesLeadToQueries(t *testing.T) {
	for _, old := range []string{"duty", "lots", "pace", "displacement"} {
		name, isAlias := Aliases[old]
		if !isAlias {
			t.Errorf("%s is not an alias", old)
		}
		if query, found := Queries[name]; !found || query.WireName != old {
			t.Errorf("%s is an alias of %s, which is sent as %q", old, name, query.WireName)
		}
		if _, found := Queries[old]; found {
			t.Errorf("%s is both a query and an alias", old)
		}
	}
}
