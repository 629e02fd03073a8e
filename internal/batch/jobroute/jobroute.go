// Package jobroute finds the batch route of the newest configuration that a job or an item
// belongs to.
package jobroute

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
)

// Of gives the batch route that a job belongs to by where it was submitted; nil when the
// configuration has none any more, or config is nil.
func Of(config *routeconfig.Config, host, path string) *routeconfig.Route {
	if config == nil {
		return nil
	}
	route := config.Match(host, path)
	if route == nil || route.Kind() != messages.RouteBulk {
		return nil
	}
	return route
}

// OfItem gives the batch route of an item, or else that of its job.
func OfItem(config *routeconfig.Config, item *dispatch.Item) *routeconfig.Route {
	if own := Of(config, item.Job.Host, item.Path); own != nil {
		return own
	}
	return Of(config, item.Job.Host, item.Job.Path)
}
