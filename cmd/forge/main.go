// Command forge takes requests at the edge and passes them on to workers.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/forge"
	"lemonarch/internal/trestle"
)

func main() {
	trestle.Main("forge", func(settings *boot.Boot, log hclog.Logger) (trestle.Process, error) {
		return forge.New(settings, log), nil
	})
}
