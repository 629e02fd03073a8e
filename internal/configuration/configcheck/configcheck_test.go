package configcheck

import (
	"strings"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
)

const sound = `{"generation":7,"channels":[
{"name":"a","host":"h.example","path-prefix":"/one/","route-kind":"streaming","cutoff-ms":6000,"weighted":[{"backend":"s","share":90},{"backend":"t","share":10}],"tries":2},
{"name":"b","host":"h.example","path-prefix":"/one/two/","route-kind":"effectful","cutoff-ms":100,"backend":"t","later":1}],
"backends":[{"name":"s","probe":"/health","conn-limit":9},{"name":"t"}],"limits":{"max-header-bytes":100},"also-later":{}}`

func TestFindings(t *testing.T) {
	checker, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, findings := checker.Check([]byte(sound)); len(findings) != 0 {
		t.Fatal(findings)
	}
	for name, change := range map[string][2]string{
		"cut short":       {`"also-later":{}}`, ``},
		"unknown service": {`"backend":"t","later"`, `"backend":"gone","later"`},
		"unknown in part": {`{"backend":"s","share":90}`, `{"backend":"gone","share":90}`},
		"same place":      {`"/one/two/"`, `"/one/"`},
		"same host":       {`"host":"h.example","path-prefix":"/one/two/"`, `"host":"H.Example","path-prefix":"/one/"`},
		"no weight":       {`"share":90},{"backend":"t","share":10}`, `"share":0},{"backend":"t","share":0}`},
		"no time-out":     {`"cutoff-ms":100`, `"cutoff-ms":0`},
		"no generation":   {`"generation":7`, `"generation":0`},
		"prefix":          {`"/one/two/"`, `"one/two"`},
		"kind":            {`"effectful"`, `"maybe"`},
		"type":            {`"tries":2`, `"tries":"two"`},
		"more behind":     {`"also-later":{}}`, `"also-later":{}} {}`},
	} {
		if _, findings := checker.Check([]byte(strings.Replace(sound, change[0], change[1], 1))); len(findings) == 0 {
			t.Errorf("%s: nothing found", name)
		}
	}
}

func TestLongestPrefixWins(t *testing.T) {
	config, _ := routeconfig.Parse([]byte(sound))
	for path, want := range map[string]string{"/one/x": "a", "/one/two/x": "b", "/one/two": "a", "/one": "", "/": ""} {
		got := ""
		if route := config.Match("H.example:80", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	counts := map[string]int{}
	for draw := 0; draw < 100; draw++ {
		counts[config.Routes[0].Choose(float64(draw)/100)]++
	}
	if counts["s"] != 90 || counts["t"] != 10 {
		t.Error(counts)
	}
}
