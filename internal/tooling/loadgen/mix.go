// Package loadgen sends load to the fleets of a lab, checks every response against the runs that
// the emulated workers recorded, and reports worth, latency and failures. Its figures are from
// loopback and emulated workers.
package loadgen

import (
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrInvalidLoad is the kind of errors of this package: invalid options or experiments, or a load,
// a call of the control endpoint or a plot that failed.
var ErrInvalidLoad = errs.Define("load")

// profile describes the requests of one kind.
type profile struct {
	// worth is what a response in time earns.
	worth float64
	// prefixes is the number of different shared prompt prefixes, each of prefixTokens tokens. sessions is
	// the number of different session parts, each of sessionTokensMin to sessionTokensMax tokens.
	// If prefixes is 0, the requests of the kind have no prompt.
	prefixes, prefixTokens, sessions, sessionTokensMin, sessionTokensMax int
	outputTokensMin, outputTokensMax                                     int
}

// profiles are the profiles of the kinds of requests by route name in the lab's own configuration.
var profiles = map[string]profile{
	"query":   {worth: 2, prefixes: 8, prefixTokens: 160, sessions: 200, sessionTokensMin: 100, sessionTokensMax: 600, outputTokensMin: 16, outputTokensMax: 48},
	"review":  {worth: 3, prefixes: 6, prefixTokens: 3000, sessions: 60, sessionTokensMin: 400, sessionTokensMax: 1500, outputTokensMin: 12, outputTokensMax: 24},
	"confirm": {worth: 1},
	"status":  {worth: 1},
	"batch":   {worth: 2, prefixes: 4, prefixTokens: 400, sessions: 1 << 30, sessionTokensMin: 100, sessionTokensMax: 800, outputTokensMin: 20, outputTokensMax: 60},
}

// Share is the share of one kind of request in a mix, relative to the parts of the other kinds.
type Share struct {
	Kind string
	Part float64
}

// ParseMix parses a mix of the form NAME=PART,... where each NAME is that of a route other than
// batch.
func ParseMix(text string) ([]Share, error) {
	var mix []Share
	total := 0.0
	used := map[string]bool{}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		part, err := strconv.ParseFloat(value, 64)
		_, known := profiles[name]
		if err != nil || !(part >= 0) || part > constants.LoadRate || !known || name == "batch" || used[name] {
			return nil, ErrInvalidLoad.New("mix: " + strconv.Quote(field) + " is not NAME=PART with NAME one of query, review, confirm or status, each at most once")
		}
		used[name] = true
		total += part
		mix = append(mix, Share{name, part})
	}
	if total <= 0 {
		return nil, ErrInvalidLoad.New("mix: parts add up to 0, want more than 0")
	}
	sort.Slice(mix, func(left, right int) bool { return mix[left].Kind < mix[right].Kind })
	return mix, nil
}

// drawKind draws a kind with the probabilities of the mix.
func drawKind(mix []Share, random *rand.Rand) string {
	total := 0.0
	for _, share := range mix {
		total += share.Part
	}
	point := random.Float64() * total
	for _, share := range mix {
		if point < share.Part {
			return share.Kind
		}
		point -= share.Part
	}
	return mix[len(mix)-1].Kind
}

// prompt is the size of a model request in tokens, and the value of its prompt prefix header.
type prompt struct {
	inputTokens, outputTokens int64
	prefixParts               string
}

// prompt draws a prompt of the profile.
func (p profile) prompt(random *rand.Rand) prompt {
	between := func(low, high int) int { return low + random.Intn(high-low+1) }
	prefix, session := random.Intn(p.prefixes), random.Intn(p.sessions)
	// The size depends on the session only. If it changed from request to request, the cached
	// prefix of a session would never be hit.
	own := p.sessionTokensMin + session%(p.sessionTokensMax-p.sessionTokensMin+1)
	return prompt{inputTokens: int64(p.prefixTokens + own), outputTokens: int64(between(p.outputTokensMin, p.outputTokensMax)),
		prefixParts: fmt.Sprintf("a%x:%d,b%x%x:%d", prefix+p.prefixTokens<<8, p.prefixTokens, prefix, session+p.prefixTokens<<32, own)}
}

// requestSpec is one request to be served, with all its attempts. node is the index of the gateway of
// the first attempt.
type requestSpec struct {
	kind   string
	route  *routeconfig.Route
	number int
	prompt prompt
	node   int
	body   []byte
	// client is the client of a session, which sends the first attempt; nil for the shared one.
	client http.RoundTripper
	// uploadTime is how long the body takes to be sent, chunked whether it is sent in chunks.
	uploadTime clock.Duration
	chunked    bool
}

// isPlain reports whether the request has no prompt.
func (s *requestSpec) isPlain() bool { return s.prompt.outputTokens == 0 }

// repeatable reports whether requests on a route may run more than once.
func repeatable(route *routeconfig.Route) bool {
	return route.Kind() == messages.RouteIdempotent || (route.Kind() == messages.RouteStreaming && route.Resumable)
}

// arrival is a request with the time at which it is due, from the start of the load.
type arrival struct {
	at   clock.Duration
	spec *requestSpec
}

// schedule draws the requests of a run: Poisson arrivals at a rate (open load). For a seed they are
// the same regardless of the fleet's responses and, apart from the node of each first attempt, of its
// number of nodes.
func schedule(options *Options, routes map[string]*routeconfig.Route, nodes int) []arrival {
	random := rand.New(rand.NewSource(options.Seed))
	var arrivals []arrival
	at := 0.0
	for number := 0; options.Count == 0 || number < options.Count; number++ {
		at += random.ExpFloat64() / options.Rate * 1000
		if clock.Milliseconds(at) >= options.For {
			break
		}
		kind := drawKind(options.Mix, random)
		spec := &requestSpec{kind: kind, route: routes[kind], number: number, node: int(random.Float64() * float64(nodes)), body: []byte("order " + strconv.Itoa(number))}
		if profiles[kind].prefixes > 0 {
			spec.prompt = profiles[kind].prompt(random)
		}
		arrivals = append(arrivals, arrival{clock.Milliseconds(at), spec})
	}
	return arrivals
}
