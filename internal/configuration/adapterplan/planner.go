package adapterplan

import "github.com/crillab/gophersat/solver"

// Counts is the work that an answer took.
type Counts struct {
	// Asked is how often it was asked whether what is settled has an answer, and
	// Solved how often the solver had to be called for it.
	Checks, SolverCalls int
}

// planner decides whether a partial assignment can be completed.
type planner struct {
	problem *problem
	counts  *Counts
	// kept weighs the places of an earlier answer, least how many must stay.
	kept    [][]int
	minKept int
	// effort is how many clauses the solver may learn over one question.
	clausesMax int
}

// complete gives a full assignment that agrees with what is settled, if there is one.
func (p *planner) complete(settled partial) (partial, bool, error) {
	p.counts.Checks++
	// Where choice is plenty the plainest guess is an answer; it costs least.
	if _, guess := p.guess(settled, p.choiceOrder()); guess != nil && p.problem.satisfiedBy(guess) && p.keptCount(guess) >= p.minKept {
		return guess, true, nil
	}
	if p.problem.insufficient(settled) {
		return nil, false, nil
	}
	if p.minKept > 0 {
		if _, _, keepable := p.problem.flow(settled, p.problem.copiesMeasure(settled), p.kept); keepable < p.minKept {
			return nil, false, nil
		}
	}
	p.counts.SolverCalls++
	encoding := newEncoding(p.problem, settled)
	if p.minKept > 0 {
		encoding.addKept(p.kept, p.minKept)
	}
	full, found, err := encoding.solve(p.clausesMax)
	if err != nil || !found {
		return nil, false, err
	}
	if !p.problem.satisfiedBy(full) || p.keptCount(full) < p.minKept {
		return nil, false, ErrUndecided.New("the solver's answer breaks a rule")
	}
	return full, true, nil
}

// keeps counts what a full assignment keeps of the earlier answer.
func (p *planner) keptCount(full partial) int {
	count := 0
	for index := range full {
		for node, state := range full[index] {
			if state == placed {
				count += weightOf(p.kept, index, node)
			}
		}
	}
	return count
}

// encoding writes a partial assignment as constraints for the solver. A literal says
// that a variable does not stand on a node: the solver tries "not" first, so that it
// starts by standing variables on the first nodes and not by excluding all.
type encoding struct {
	problem       *problem
	settled       partial
	number        [][]int
	last          int
	constraints   []solver.PBConstr
	unsatisfiable bool
}

func newEncoding(problem *problem, settled partial) *encoding {
	encoded := &encoding{problem: problem, settled: settled, number: make([][]int, len(problem.variables))}
	for index := range problem.variables {
		encoded.number[index] = make([]int, len(problem.nodes))
		for node, state := range settled[index] {
			if state == open {
				encoded.last++
				encoded.number[index][node] = encoded.last
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

// atLeast adds that the weights of what holds reach a sum.
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

// atMost adds that the weights of what holds do not pass a sum.
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

// copies adds that a variable has exactly its copies.
func (e *encoding) addCopies(index int) {
	missing := e.problem.variables[index].copies
	var free []int
	for node, state := range e.settled[index] {
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

// load adds slots and memory of a node.
func (e *encoding) addCapacity(node int) {
	host := &e.problem.nodes[node]
	slots, memory := host.Slots, unbounded
	if host.MemoryMB != nil {
		memory = *host.MemoryMB
	}
	var free, sizes, weights []int
	for index := range e.problem.variables {
		size, weight := len(e.problem.variables[index].names), e.problem.variables[index].memory
		if e.settled[index][node] == placed {
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
