package hollowfleet

import (
	"fmt"
	"hash/fnv"
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
)

// traffic places requests at workers, so that there is something to gossip about. No
// byte of them is moved; workers tell how many they have in each answer, and take the
// time of the plan.
type traffic struct {
	fleet   *Fleet
	tenant  *rand.Zipf
	random  *rand.Rand
	running map[string]int
	// asked and turned count requests, and those that found no room.
	asked, turned int64
}

func newTraffic(fleet *Fleet) *traffic {
	random := rand.New(rand.NewSource(fleet.Plan.Seed + 31))
	return &traffic{fleet: fleet, random: random, running: map[string]int{}, tenant: rand.NewZipf(random, 1.1, 8, uint64(max(fleet.Plan.Tenants, 2)-1))}
}

// Name names it.
func (*traffic) Name() string { return "traffic" }

// Begin lets requests come to an edge process.
func (t *traffic) Begin(node *Node) any {
	if node.own.Role != membership.RoleGateway {
		return nil
	}
	gateways := 0
	for _, entry := range t.fleet.nodes {
		if entry.own.Role == membership.RoleGateway {
			gateways++
		}
	}
	rate := t.fleet.Plan.Requests / float64(gateways)
	if rate <= 0 {
		return nil
	}
	var next func()
	next = func() {
		t.request(node, node.state[1].(*placing).scheduler)
		node.after(seconds(node.random.ExpFloat64()/rate), next)
	}
	node.after(seconds(1+node.random.ExpFloat64()/rate), next)
	return nil
}

// Drop has nothing.
func (*traffic) Drop(*Node) {}

func (t *traffic) request(node *Node, scheduler *admission.Scheduler) {
	model := t.random.Intn(t.fleet.Plan.Models)
	request := &admission.Request{Service: fmt.Sprintf("model-%02d", model), Prompt: t.prompt(node, model), Affine: true,
		Setpoint: clock.Milliseconds(470), Deadline: node.now().Add(seconds(20)), QueueUntil: node.now().Add(seconds(1))}
	var resp admission.Decision
	node.step(CorePlacement, func() { resp, _ = scheduler.Admit(request, nil, node.now()) })
	t.asked++
	if resp.Grant == nil {
		t.turned++
		return
	}
	grant := resp.Grant
	worker := grant.Worker.ID
	t.running[worker]++
	inFlight := clock.Milliseconds(t.fleet.Plan.HeldMs * node.random.ExpFloat64())
	load := func() string { return fmt.Sprintf("%d,0,%d", t.running[worker], grant.Worker.Capacity) }
	node.after(inFlight/10, func() { node.step(CorePlacement, func() { grant.FirstEvent(load(), node.now()) }) })
	// The worker ends the request also where its process is gone by then.
	incarnation := node.life
	t.fleet.world.After(inFlight, func() {
		t.running[worker]--
		if node.life == incarnation {
			node.step(CorePlacement, func() { grant.End(admission.ResultServed, node.now()) })
		}
	})
}

// prompt draws a prompt: a part that a model's requests share, a part of the tenant,
// and the request's own. The lengths are assumed.
func (t *traffic) prompt(node *Node, model int) prefixindex.Prompt {
	long := node.random.Float64() < t.fleet.Plan.LongShare
	tenant := t.tenant.Uint64()
	shared, retained, own := 430, 600, 300
	if long {
		retained, own = 6000, 3000
	}
	prompt := prefixindex.Prompt{Tokens: shared + retained + own, OutTokens: 200}
	for _, part := range []struct {
		name   string
		tokens int
	}{{fmt.Sprint("model", model), shared}, {fmt.Sprint("model", model, "tenant", tenant, long), retained}, {fmt.Sprint(node.own.Name, node.random.Int63()), own}} {
		sum := fnv.New64a()
		sum.Write([]byte(part.name))
		prompt.Parts = append(prompt.Parts, prefixindex.Part{Name: sum.Sum64(), Tokens: part.tokens})
	}
	return prompt
}
