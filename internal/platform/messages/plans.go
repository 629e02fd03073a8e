package messages

// NamedPrepare is Prepare for a register with a name. It is a kind of its own, so
// that a process which knows of one register only never mistakes it for that.
type NamedPrepare struct {
	Name    string  `msg:"n"`
	Prepare Prepare `msg:"p"`
}

// NamedAccept is Accept for a register with a name.
type NamedAccept struct {
	Name   string `msg:"n"`
	Accept Accept `msg:"a"`
}

// NamedAsk asks for the sets of a register with a name; DutyChanged answers.
type NamedAsk struct {
	Name string `msg:"n"`
}

// PlanValue is the body of the register of assignments.
type PlanValue struct {
	// Rules is the operator's file, Answer the plan in force for it (JSON).
	Rules  []byte `msg:"r"`
	Answer []byte `msg:"a"`
	// Gone names the nodes that the plan does without.
	Gone []string `msg:"g"`
	// Collisions is the refusal (JSON) where the rules can't be met without those:
	// the answer is then the last one that could be.
	Collisions []byte `msg:"c"`
}

// PlanApply asks a controller to put rules and their answer in force on top of a
// revision of the register.
type PlanApply struct {
	Base   int64  `msg:"b"`
	Rules  []byte `msg:"r"`
	Answer []byte `msg:"a"`
}

// PlanApplied answers: Taken or not, and why not.
type PlanApplied struct {
	Taken bool `msg:"k"`
	// Unclear means that it may or may not be in force.
	Unclear  bool   `msg:"u"`
	Revision int64  `msg:"v"`
	Why      string `msg:"w"`
}

// PlanPull asks for the assignments of one node, or of all with the value itself.
type PlanPull struct {
	Node  string `msg:"n"`
	Whole bool   `msg:"w"`
	// Settled asks for a read at a majority.
	Settled bool `msg:"s"`
}

// PlanWindow is a window with its start, "HH:MM".
type PlanWindow struct {
	Name   string `msg:"n"`
	Starts string `msg:"s"`
}

// PlanPlace is one copy of an adapter on a node in a window.
type PlanPlace struct {
	Window  string `msg:"w"`
	Adapter string `msg:"a"`
	Node    string `msg:"n"`
}

// PlanTold is what is in force, as far as the asker needs it. Revision 0 is nothing.
type PlanTold struct {
	Revision   int64        `msg:"v"`
	Generation int64        `msg:"g"`
	Windows    []PlanWindow `msg:"w"`
	Places     []PlanPlace  `msg:"p"`
	Gone       []string     `msg:"x"`
	// Nodes are all nodes of the rules; a node is not told them.
	Nodes []string `msg:"o"`
	// Collisions gives a line for each collision that keeps an older answer in force.
	Collisions []string  `msg:"c"`
	Value      PlanValue `msg:"b"`
}
