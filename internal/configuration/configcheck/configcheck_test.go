package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
)

const validBody = `{"generation":7,"channels":[
{"name":"a","host":"h.example","path-prefix":"/one/","route-kind":"streaming","cutoff-ms":6000,"weighted":[{"backend":"s","share":90},{"backend":"t","share":10}],"tries":2},
{"name":"b","host":"h.example","path-prefix":"/one/two/","route-kind":"effectful","cutoff-ms":100,"backend":"t","later":1}],
"backends":[{"name":"s","probe":"/health","conn-limit":9},{"name":"t"}],"limits":{"max-header-bytes":100},"also-later":{}}`

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	checker, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, findings := checker.Check([]byte(validBody)); len(findings) != 0 {
		t.Fatalf("findings against a valid configuration: %q", findings)
	}
	for name, change := range map[string][2]string{
		"cut short":        {`"also-later":{}}`, ``},
		"unknown service":  {`"backend":"t","later"`, `"backend":"gone","later"`},
		"unknown weighted": {`{"backend":"s","share":90}`, `{"backend":"gone","share":90}`},
		"same prefix":      {`"/one/two/"`, `"/one/"`},
		"same host":        {`"host":"h.example","path-prefix":"/one/two/"`, `"host":"H.Example","path-prefix":"/one/"`},
		"no weight":        {`"share":90},{"backend":"t","share":10}`, `"share":0},{"backend":"t","share":0}`},
		"no time-out":      {`"cutoff-ms":100`, `"cutoff-ms":0`},
		"no generation":    {`"generation":7`, `"generation":0`},
		"prefix":           {`"/one/two/"`, `"one/two"`},
		"kind":             {`"effectful"`, `"maybe"`},
		"type":             {`"tries":2`, `"tries":"two"`},
		"trailing data":    {`"also-later":{}}`, `"also-later":{}} {}`},
	} {
		if _, findings := checker.Check([]byte(strings.Replace(validBody, change[0], change[1], 1))); len(findings) == 0 {
			t.Errorf("%s: got no findings, want at least one", name)
		}
	}
}

func TestLongestPrefixWins(t *testing.T) {
	config, _ := routeconfig.Parse([]byte(validBody))
	for path, want := range map[string]string{"/one/x": "a", "/one/two/x": "b", "/one/two": "a", "/one": "", "/": ""} {
		got := ""
		if route := config.Match("H.example:80", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s: got route %q, want %q", path, got, want)
		}
	}
	counts := map[string]int{}
	for draw := 0; draw < 100; draw++ {
		counts[config.Routes[0].Choose(float64(draw)/100)]++
	}
	if counts["s"] != 90 || counts["t"] != 10 {
		t.Errorf("got draws %v, want 90 for s and 10 for t", counts)
	}
}

// longBody returns a valid configuration with this number of routes.
func longBody(routes int) string {
	text := &strings.Builder{}
	text.WriteString(`{"generation":7,"later":{"a":[1]},"backends":[{"name":"s","probe":"/health"}],"limits":{"idle-ms":15000},"channels":[`)
	for number := range routes {
		if number > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(text, `{"name":"r%d","host":"h.example","path-prefix":"/r%d/","route-kind":"streaming","cutoff-ms":6000,"backend":"s","tries":2}`, number, number)
	}
	text.WriteString(`]}`)
	return text.String()
}

// TestLongConfigurationsMeetTheSameSchema checks that a configuration that is checked in chunks must meet
// the same schema as one that is checked as a whole.
func TestLongConfigurationsMeetTheSameSchema(t *testing.T) {
	checker, err := New()
	if err != nil {
		t.Fatal(err)
	}
	config, findings := checker.Check([]byte(longBody(600)))
	if len(findings) != 0 || len(config.Routes) != 600 || config.Limits.IdleMs != 15000 {
		t.Fatalf("a valid long configuration was not accepted unchanged; findings: %q", findings)
	}
	for name, change := range map[string][2]string{
		"cut short":        {`]}`, `]`},
		"trailing data":    {`]}`, `]} {}`},
		"no generation":    {`"generation":7`, `"generation":0`},
		"missing":          {`"generation":7,`, ``},
		"no list":          {`"backends":[{"name":"s","probe":"/health"}]`, `"backends":7`},
		"null list":        {`"backends":[{"name":"s","probe":"/health"}]`, `"backends":null`},
		"limits":           {`"idle-ms":15000`, `"idle-ms":0`},
		"stands twice":     {`"generation":7`, `"generation":7,"generation":8`},
		"unknown service":  {`{"name":"s","probe"`, `{"name":"t","probe"`},
		"unknown kind":     {`"name":"r599","host":"h.example","path-prefix":"/r599/","route-kind":"streaming"`, `"name":"r599","host":"h.example","path-prefix":"/r599/","route-kind":"maybe"`},
		"duplicate prefix": {`"path-prefix":"/r599/"`, `"path-prefix":"/r0/"`},
		"a long route":     {`"name":"r599"`, `"name":"r599` + strings.Repeat("x", elementBytes) + `"`},
	} {
		changed := strings.Replace(longBody(600), change[0], change[1], 1)
		if changed == longBody(600) {
			t.Fatalf("%s: the replacement changed nothing", name)
		}
		if _, findings := checker.Check([]byte(changed)); len(findings) == 0 {
			t.Errorf("%s: got no findings, want at least one", name)
		}
	}
	if _, findings := checker.Check([]byte(strings.ReplaceAll(longBody(600), "streaming", "maybe"))); len(findings) > findingsMax {
		t.Errorf("got %d findings, want at most %d", len(findings), findingsMax)
	}
}
