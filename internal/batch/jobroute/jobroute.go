// Package jobroute finds the batch route of a job or an item in a configuration.
package jobroute

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
)

// Of returns the batch route of a job by the host and path to which it was submitted. It
// returns nil if the configuration no longer has such a route, or if config is nil.
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

// OfItem returns the batch route of an item's own path, or that of its job if there is none.
// It returns nil if there is neither.
func OfItem(config *routeconfig.Config, item *dispatch.Item) *routeconfig.Route {
	if own := Of(config, item.Job.Host, item.Path); own != nil {
		return own
	}
	return Of(config, item.Job.Host, item.Job.Path)
}
