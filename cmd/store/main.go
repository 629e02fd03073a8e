// Command store keeps lots and runs their items.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/batch/store"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/settings"
)

func main() {
	node.Main("store", func(nodeSettings *settings.Settings, log hclog.Logger) (node.Process, error) {
		return store.New(nodeSettings, log)
	})
}
