// Package routeconfig parses the configuration (routes, services and limits) and selects
// the route of a request by host and path.
package routeconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"sort"
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrMalformed means that a body is not a configuration.
var ErrMalformed = errs.Define("configuration")

// Share is the relative weight of one service of a weighted route.
type Share struct {
	Backend string  `json:"backend"`
	Share   float64 `json:"share"`
}

// Route is one route of the configuration, whose JSON form calls it a channel. Fields whose names end
// in Ms are in milliseconds, RetainS is in seconds. The methods Cutoff, Setpoint and Retain apply the
// defaults.
type Route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	Prefix     string  `json:"path-prefix"`
	KindName   string  `json:"route-kind"`
	CutoffMs   float64 `json:"cutoff-ms"`
	SetpointMs float64 `json:"setpoint-ms,omitempty"`
	// ResultMs is the time after the submission of a batch job at which the job is due.
	ResultMs float64 `json:"result-setpoint-ms,omitempty"`
	RetainS  float64 `json:"retain-s,omitempty"`
	// BacklogCap is the maximum number of tokens in the route's waiting batch jobs; 0 means no limit.
	BacklogCap int64 `json:"backlog-cap,omitempty"`
	// Priority orders the requests that wait for capacity; a lower number is a higher priority.
	Priority int     `json:"priority"`
	Backend  string  `json:"backend,omitempty"`
	Weighted []Share `json:"weighted,omitempty"`
	// MaxAttempts is the maximum number of attempts of a request; Parse sets it to at least 1.
	MaxAttempts int `json:"tries,omitempty"`
	// Affine means that workers are also chosen by the prefix of the prompt, to use their prefix caches.
	Affine    bool `json:"affine,omitempty"`
	Resumable bool `json:"resumable,omitempty"`
	// GapMs is the maximum time between two events of a stream; 0 means no limit is set.
	GapMs float64 `json:"gap-setpoint-ms,omitempty"`
}

// Engine describes the workers of a service that runs a model. CacheTokens is the capacity of a
// worker's prefix cache, in tokens; 0 means that it is not known.
type Engine struct {
	Capacity    int   `json:"capacity,omitempty"`
	CacheTokens int64 `json:"cache-tokens,omitempty"`
}

// Service is one service of the configuration, whose JSON form calls it a backend.
type Service struct {
	Name  string `json:"name"`
	Probe string `json:"probe,omitempty"`
	// ConnLimit is the number of connections that a worker has for all nodes together, of which each
	// node uses only a part; 0 means no limit.
	ConnLimit int     `json:"conn-limit,omitempty"`
	Engine    *Engine `json:"engine,omitempty"`
}

// Limits bounds the requests and idle times of clients. If HeaderBytes or BodyBytes is 0, the
// gateway applies constants.HeadLimit or constants.RequestLimit; a HeaderWaitMs or IdleMs of 0 means
// no limit.
type Limits struct {
	HeaderBytes  int     `json:"max-header-bytes,omitempty"`
	BodyBytes    int64   `json:"max-body-bytes,omitempty"`
	HeaderWaitMs float64 `json:"header-wait-ms,omitempty"`
	IdleMs       float64 `json:"idle-ms,omitempty"`
}

// Config is a configuration. Only one returned by Parse is ready for use. Its JSON form is
// the one that an operator sends; optional fields that are 0 are omitted.
type Config struct {
	Generation int64     `json:"generation"`
	Routes     []Route   `json:"channels"`
	Services   []Service `json:"backends"`
	Limits     Limits    `json:"limits"`

	Body    []byte `json:"-"`
	byHost  map[string][]*Route
	service map[string]*Service
}

// Parse parses a body. It does not validate: the body was checked before it was accepted.
func Parse(body []byte) (*Config, error) {
	config := &Config{}
	if err := json.Unmarshal(body, config); err != nil {
		return nil, ErrMalformed.Wrap(err, "can't be read")
	}
	config.Body = body
	config.byHost = map[string][]*Route{}
	config.service = map[string]*Service{}
	for index := range config.Routes {
		route := &config.Routes[index]
		if route.MaxAttempts < 1 {
			route.MaxAttempts = 1
		}
		host := strings.ToLower(route.Host)
		config.byHost[host] = append(config.byHost[host], route)
	}
	for _, routes := range config.byHost {
		// The longest matching prefix wins, so routes are tried in that order.
		sort.SliceStable(routes, func(left, right int) bool { return len(routes[left].Prefix) > len(routes[right].Prefix) })
	}
	for index := range config.Services {
		config.service[config.Services[index].Name] = &config.Services[index]
	}
	return config, nil
}

// Encode returns the configuration as JSON, as an operator sends it.
func (c *Config) Encode() []byte {
	body, err := json.Marshal(c)
	if err != nil {
		// Marshal fails only for NaN or infinite numbers, which only a program can have set.
		panic(err)
	}
	return body
}

// Hash returns the SHA-256 of a body in hexadecimal, which identifies it.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Match returns the route of a request, or nil if there is none.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := c.byHost[host]
	if !found {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			routes = c.byHost[bare]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteByPrefix returns the route with this host and prefix, or nil if there is none.
func (c *Config) RouteByPrefix(host, prefix string) *Route {
	for _, route := range c.byHost[strings.ToLower(host)] {
		if route.Prefix == prefix {
			return route
		}
	}
	return nil
}

// Service returns the service with this name, or nil if there is none.
func (c *Config) Service(name string) *Service { return c.service[name] }

// HostPrefix returns the host and prefix of the route. Match can't distinguish two routes with
// the same value.
func (r *Route) HostPrefix() string { return strings.ToLower(r.Host) + r.Prefix }

// Kind returns the kind of the route, which determines whether requests may be repeated.
func (r *Route) Kind() messages.RouteKind {
	switch r.KindName {
	case "idempotent":
		return messages.RouteIdempotent
	case "streaming":
		return messages.RouteStreaming
	case "bulk":
		return messages.RouteBulk
	}
	// An unknown kind is treated as the most restrictive one.
	return messages.RouteEffectful
}

// Choose returns the service of one request by weight, for a random draw in [0, 1).
func (r *Route) Choose(draw float64) string {
	if len(r.Weighted) == 0 {
		return r.Backend
	}
	total := 0.0
	for _, share := range r.Weighted {
		total += share.Share
	}
	draw *= total
	chosen := ""
	for _, share := range r.Weighted {
		if share.Share <= 0 {
			continue
		}
		chosen = share.Backend
		if draw < share.Share {
			break
		}
		draw -= share.Share
	}
	return chosen
}

// Services returns the names of the services to which requests of the route may go.
func (r *Route) Services() []string {
	if len(r.Weighted) == 0 {
		return []string{r.Backend}
	}
	var names []string
	for _, share := range r.Weighted {
		if share.Share > 0 {
			names = append(names, share.Backend)
		}
	}
	return names
}

// Cutoff returns the maximum time that a request may take; the default is one hour.
func (r *Route) Cutoff() clock.Duration {
	if r.CutoffMs <= 0 {
		return clock.Milliseconds(3_600_000)
	}
	return clock.Milliseconds(r.CutoffMs)
}

// Retain returns how long after the submission of its batch job an item may be run; older items are
// abandoned. The default is 24 hours.
func (r *Route) Retain() clock.Duration {
	if r.RetainS <= 0 {
		// Items are also abandoned because of their age if retain-s is not configured, but only after a day.
		return clock.Milliseconds(24 * 3_600_000)
	}
	return clock.Milliseconds(r.RetainS * 1000)
}

// Setpoint returns the time within which a response has its full value; the default is 1 s.
func (r *Route) Setpoint() clock.Duration {
	if r.SetpointMs <= 0 {
		return clock.Milliseconds(1000)
	}
	return clock.Milliseconds(r.SetpointMs)
}
