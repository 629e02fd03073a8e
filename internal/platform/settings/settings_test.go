package settings

import (
	"strings"
	"testing"
)

const validSettings = `node-name = "n"
zone = "z"
ip = "10.0.0.1"
internal-ports = [7000,7010]
seeds = ["10.0.0.2:80"]
heartbeat-ms = 1200
serves = ["edge"]
field-of-a-later-version = 3
[bind-addresses]
ingress = "10.0.0.1:1"
readiness = "10.0.0.1:2"
[limits]
memory-mb = 100
[tolerances]
grace-s = 8
`

func TestValidSettings(t *testing.T) {
	nodeSettings, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got := nodeSettings.SeedAddresses(1); len(got) != 1 || got[0] != "10.0.0.2:7001" {
		t.Fatalf("seed addresses: got %v, want [10.0.0.2:7001]", got)
	}
}

func TestEachBadSettingIsNamedInOneLine(t *testing.T) {
	for name, change := range map[string][2]string{
		"node-name":               {`node-name = "n"`, ``},
		"zone":                    {`zone = "z"`, ``},
		"ip":                      {`"10.0.0.1"`, `"here"`},
		"internal-ports":          {`[7000,7010]`, `[7000,7001]`},
		"seeds":                   {`["10.0.0.2:80"]`, `["10.0.0.2"]`},
		"heartbeat-ms":            {`1200`, `0`},
		"bind-addresses.ingress":  {`ingress = "10.0.0.1:1"`, ``},
		"limits.memory-mb":        {`memory-mb = 100`, ``},
		"tolerances.grace-s":      {`grace-s = 8`, `grace-s = -1`},
		"data-dir":                {`["edge"]`, `["storage"]`},
		"bind-addresses.control":  {`["edge"]`, `["controller"]`},
		"not readable as TOML":    {`zone = "z"`, `zone = `},
		"fault-budget":            {`[tolerances]`, "[fault-budget]\nmachines = -1\n[tolerances]"},
		"fault-budget is below 0": {`[tolerances]`, "[fault-budget]\nregions = -1\n[tolerances]"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line that contains %q", err, name)
		}
	}
}
