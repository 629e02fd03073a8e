// Command store stores batch jobs and runs their items on workers.
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
