// Command controller stores the configuration and the registration of workers.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/controller"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/settings"
)

func main() {
	process.Main("controller", func(nodeSettings *settings.Settings, log hclog.Logger) (process.Process, error) {
		return controller.New(nodeSettings, log)
	})
}
