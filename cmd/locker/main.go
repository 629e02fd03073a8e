// Command locker keeps lots and runs their items.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/locker"
	"lemonarch/internal/trestle"
)

func main() {
	trestle.Main("locker", func(settings *boot.Boot, log hclog.Logger) (trestle.Process, error) {
		return locker.New(settings, log)
	})
}
