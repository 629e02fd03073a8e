// Command store keeps lots and runs their items.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/batch/store"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/settings"
)

func main() {
	process.Main("store", func(nodeSettings *settings.Settings, log hclog.Logger) (process.Process, error) {
		return store.New(nodeSettings, log)
	})
}
