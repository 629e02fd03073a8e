package adapterplan

import "github.com/crillab/gophersat/solver"

// Counts measures the work that planning took.
type Counts struct {
	// Checks counts the checks whether a partial assignment can be completed, and
	// SolverCalls those checks that needed the solver.
	Checks, SolverCalls int
}

// planner completes partial assignments of one problem.
type planner struct {
	problem *problem
	counts  *Counts
	// earlierCounts counts, by variable and node, the assignments of an earlier solution; nil
	// means that there is none. minKept is how many of them must be kept.
	earlierCounts [][]int
	minKept       int
	// clausesMax is how many clauses the solver may learn in one call.
	clausesMax int
}

// complete returns a full assignment that extends the fixed one, if there is one.
// The error is ErrEffortExceeded if the solver reached its limit.
func (p *planner) complete(fixed partial) (partial, bool, error) {
	p.counts.Checks++
	// The greedy guess comes first since it costs least, and with many choices it usually is a solution.
	if _, guess := p.guess(fixed, p.choiceOrder()); guess != nil && p.problem.satisfiedBy(guess) && p.keptCount(guess) >= p.minKept {
		return guess, true, nil
	}
	if p.problem.insufficient(fixed) {
		return nil, false, nil
	}
	if p.minKept > 0 {
		if _, _, keptBound := p.problem.flow(fixed, p.problem.copiesMeasure(fixed), p.earlierCounts); keptBound < p.minKept {
			return nil, false, nil
		}
	}
	p.counts.SolverCalls++
	encoding := newEncoding(p.problem, fixed)
	if p.minKept > 0 {
		encoding.addMinKept(p.earlierCounts, p.minKept)
	}
	full, found, err := encoding.solve(p.clausesMax)
	if err != nil || !found {
		return nil, false, err
	}
	if !p.problem.satisfiedBy(full) || p.keptCount(full) < p.minKept {
		return nil, false, ErrUndecided.New("the solver's solution breaks a rule")
	}
	return full, true, nil
}

// keptCount counts the assignments of the earlier solution that a full assignment keeps.
func (p *planner) keptCount(full partial) int {
	count := 0
	for index := range full {
		for node, state := range full[index] {
			if state == placed {
				count += weightOf(p.earlierCounts, index, node)
			}
		}
	}
	return count
}

// encoding translates the completion of a partial assignment into constraints for the
// solver. A positive literal means that a variable is not placed on a node. The solver
// tries false first, so it starts by placing variables on the first nodes instead of
// excluding all of them.
type encoding struct {
	problem *problem
	fixed   partial
	// number is the number of the solver's variable for each variable and node, 0 if the node is not open.
	number [][]int
	// lastNumber is the highest number in use.
	lastNumber  int
	constraints []solver.PBConstr
	// unsatisfiable means that a constraint can't be met, whatever the values.
	unsatisfiable bool
}

func newEncoding(problem *problem, fixed partial) *encoding {
	encoded := &encoding{problem: problem, fixed: fixed, number: make([][]int, len(problem.variables))}
	for index := range problem.variables {
		encoded.number[index] = make([]int, len(problem.nodes))
		for node, state := range fixed[index] {
			if state == open {
				encoded.lastNumber++
				encoded.number[index][node] = encoded.lastNumber
			}
		}
	}
	for index := range problem.variables {
		encoded.addCopies(index)
		if problem.variables[index].zones > 1 {
			encoded.addSpread(index)
		}
	}
	for node := range problem.nodes {
		encoded.addCapacity(node)
	}
	for _, members := range problem.apartNodes {
		for node := range problem.nodes {
			var literals []int
			for _, member := range members {
				if number := encoded.number[member][node]; number > 0 {
					literals = append(literals, -number)
				}
			}
			encoded.atMost(literals, nil, 1)
		}
	}
	for _, members := range problem.apartZones {
		encoded.addApartZones(members)
	}
	return encoded
}

// atLeast requires that the weights of the true literals reach a sum. Nil weights mean
// 1 for each literal.
func (e *encoding) atLeast(literals, weights []int, sum int) {
	total := len(literals)
	if weights != nil {
		total = 0
		for _, weight := range weights {
			total += weight
		}
	}
	if sum <= 0 {
		return
	}
	if total < sum {
		e.unsatisfiable = true
		return
	}
	e.constraints = append(e.constraints, solver.GtEq(literals, weights, sum))
}

// atMost requires that the weights of the true literals do not exceed a sum.
func (e *encoding) atMost(literals, weights []int, sum int) {
	total := len(literals)
	var opposite, sizes []int
	for _, literal := range literals {
		opposite = append(opposite, -literal)
	}
	if weights != nil {
		total = 0
		sizes = append(sizes, weights...)
		for _, weight := range weights {
			total += weight
		}
	}
	e.atLeast(opposite, sizes, total-sum)
}

// addCopies requires that a variable is placed on exactly as many nodes as it has copies.
func (e *encoding) addCopies(index int) {
	missing := e.problem.variables[index].copies
	var free []int
	for node, state := range e.fixed[index] {
		if state == placed {
			missing--
		}
		if number := e.number[index][node]; number > 0 {
			free = append(free, -number)
		}
	}
	e.atMost(free, nil, missing)
	e.atLeast(free, nil, missing)
}

// addCapacity limits the copies on a node to its slots and memory.
func (e *encoding) addCapacity(node int) {
	host := &e.problem.nodes[node]
	slots, memory := host.Slots, unbounded
	if host.MemoryMB != nil {
		memory = *host.MemoryMB
	}
	var free, sizes, weights []int
	for index := range e.problem.variables {
		size, weight := len(e.problem.variables[index].names), e.problem.variables[index].memory
		if e.fixed[index][node] == placed {
			slots, memory = slots-size, memory-weight
		}
		if number := e.number[index][node]; number > 0 {
			free, sizes, weights = append(free, -number), append(sizes, size), append(weights, weight)
		}
	}
	e.atMost(free, sizes, slots)
	if host.MemoryMB != nil {
		e.atMost(free, weights, memory)
	}
}
