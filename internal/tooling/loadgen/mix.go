// Package loadgen drives load into a lab's fleets, checks every answer against what
// the emulated workers ran, and reports worth, latency and failures. Its figures are
// of loopback and of emulated workers.
package loadgen

import (
	"fmt"
	"math/rand"
	"sort"
	"strconv"
	"strings"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrInvalidLoad is the error of options or experiments that can't be carried out.
var ErrInvalidLoad = errs.Define("load")

// profile says what one kind of request looks like. All figures are ours.
type profile struct {
	worth float64
	// counts is how many shared heads there are, of so many tokens; sessions how many
	// parts of one's own, and how large they are.
	heads, headTokens, sessions, sessionTokensMin, sessionTokensMax int
	outputTokensMin, outputTokensMax                               int
}

// profiles of the kinds of request that the lab's own configuration has.
var profiles = map[string]profile{
	"query":   {worth: 2, heads: 8, headTokens: 160, sessions: 200, sessionTokensMin: 100, sessionTokensMax: 600, outputTokensMin: 16, outputTokensMax: 48},
	"review":  {worth: 3, heads: 6, headTokens: 3000, sessions: 60, sessionTokensMin: 400, sessionTokensMax: 1500, outputTokensMin: 12, outputTokensMax: 24},
	"confirm": {worth: 1},
	"status":  {worth: 1},
	"batch":   {worth: 2, heads: 4, headTokens: 400, sessions: 1 << 30, sessionTokensMin: 100, sessionTokensMax: 800, outputTokensMin: 20, outputTokensMax: 60},
}

// Share is one part of a mix.
type Share struct {
	Kind string
	Part float64
}

// ParseMix reads NAME=PART,...; the names are those of routes.
func ParseMix(text string) ([]Share, error) {
	var mix []Share
	total := 0.0
	observed := map[string]bool{}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		part, err := strconv.ParseFloat(value, 64)
		_, known := profiles[name]
		if err != nil || !(part >= 0) || part > constants.LoadRate || !known || name == "batch" || observed[name] {
			return nil, ErrInvalidLoad.New("mix: " + strconv.Quote(field) + " is not NAME=PART with a NAME of query, review, confirm or status, once")
		}
		observed[name] = true
		total += part
		mix = append(mix, Share{name, part})
	}
	if total <= 0 {
		return nil, ErrInvalidLoad.New("mix: its parts add up to 0")
	}
	sort.Slice(mix, func(left, right int) bool { return mix[left].Kind < mix[right].Kind })
	return mix, nil
}

// draw picks a kind.
func drawKind(mix []Share, random *rand.Rand) string {
	total := 0.0
	for _, share := range mix {
		total += share.Part
	}
	at := random.Float64() * total
	for _, share := range mix {
		if at < share.Part {
			return share.Kind
		}
		at -= share.Part
	}
	return mix[len(mix)-1].Kind
}

// prompt is what a request for tokens carries.
type prompt struct {
	inputTokens, outputTokens int64
	prefix   string
}

func (p profile) prompt(random *rand.Rand) prompt {
	between := func(low, high int) int { return low + random.Intn(high-low+1) }
	head, session := random.Intn(p.heads), random.Intn(p.sessions)
	// A session's part keeps its size, or kept parts would never be found again.
	own := p.sessionTokensMin + session%(p.sessionTokensMax-p.sessionTokensMin+1)
	return prompt{inputTokens: int64(p.headTokens + own), outputTokens: int64(between(p.outputTokensMin, p.outputTokensMax)),
		prefix: fmt.Sprintf("a%x:%d,b%x%x:%d", head+p.headTokens<<8, p.headTokens, head, session+p.headTokens<<32, own)}
}

// order is one request that a client wants served.
type requestSpec struct {
	kind   string
	route  *routeconfig.Route
	number int
	prompt prompt
	node   int
	body   []byte
}

func (o *requestSpec) isPlain() bool { return o.prompt.outputTokens == 0 }

// repeatable: may run more than once.
func repeatable(route *routeconfig.Route) bool {
	return route.Kind() == messages.RouteIdempotent || (route.Kind() == messages.RouteStreaming && route.Resumable)
}

// planned is when an order is due, from the start of the load.
type arrival struct {
	at    clock.Duration
	spec *requestSpec
}

// schedule draws the orders of a run: open arrivals at a rate, the same for a seed
// whatever the fleet does and however many nodes it has.
func schedule(options *Options, routes map[string]*routeconfig.Route, nodes int) []arrival {
	random := rand.New(rand.NewSource(options.Seed))
	var all []arrival
	at := 0.0
	for number := 0; options.Count == 0 || number < options.Count; number++ {
		at += random.ExpFloat64() / options.Rate * 1000
		if clock.Milliseconds(at) >= options.For {
			break
		}
		kind := drawKind(options.Mix, random)
		entry := &requestSpec{kind: kind, route: routes[kind], number: number, node: int(random.Float64() * float64(nodes)), body: []byte("order " + strconv.Itoa(number))}
		if profiles[kind].heads > 0 {
			entry.prompt = profiles[kind].prompt(random)
		}
		all = append(all, arrival{clock.Milliseconds(at), entry})
	}
	return all
}
