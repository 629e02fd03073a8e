// Command foreman keeps the configuration and the registration of workers.
package main

import (
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/foreman"
	"lemonarch/internal/trestle"
)

func main() {
	trestle.Main("foreman", func(settings *boot.Boot, log hclog.Logger) (trestle.Process, error) {
		return foreman.New(settings, log)
	})
}
