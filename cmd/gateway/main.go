// Command gateway accepts client requests at the edge and forwards them to workers.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/traffic/gateway"
)

func main() {
	process.Main("gateway", func(nodeSettings *settings.Settings, log hclog.Logger) (process.Process, error) {
		return gateway.New(nodeSettings, log), nil
	})
}
