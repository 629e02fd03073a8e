package messages

// NamedPrepareRequest is Prepare for a register with a name. It is a kind of its own, so
// that a process which knows of one register only never mistakes it for that.
type NamedPrepareRequest struct {
	Name    string         `msg:"n"`
	Request PrepareRequest `msg:"p"`
}

// NamedAcceptRequest is Accept for a register with a name.
type NamedAcceptRequest struct {
	Name    string        `msg:"n"`
	Request AcceptRequest `msg:"a"`
}

// NamedReadRequest asks for the sets of a register with a name; RegisterResponse answers.
type NamedReadRequest struct {
	Name string `msg:"n"`
}

// PlanValue is the body of the register of assignments.
type PlanValue struct {
	// Rules is the operator's file, Answer the plan in force for it (JSON).
	Rules    []byte `msg:"r"`
	Solution []byte `msg:"a"`
	// Absent names the nodes that the plan does without.
	Absent []string `msg:"g"`
	// Collisions is the refusal (JSON) where the rules can't be met without those:
	// the answer is then the last one that could be.
	Collisions []byte `msg:"c"`
}

// PlanApplyRequest asks a controller to put rules and their answer in force on top of a
// revision of the register.
type PlanApplyRequest struct {
	Base     int64  `msg:"b"`
	Rules    []byte `msg:"r"`
	Solution []byte `msg:"a"`
}

// PlanApplyResponse answers: Taken or not, and why not.
type PlanApplyResponse struct {
	Applied bool `msg:"k"`
	// Unclear means that it may or may not be in force.
	Unclear  bool   `msg:"u"`
	Revision int64  `msg:"v"`
	Reason   string `msg:"w"`
}

// PlanRequest asks for the assignments of one node, or of all with the value itself.
type PlanRequest struct {
	Node     string `msg:"n"`
	Complete bool   `msg:"w"`
	// Linearizable asks for a read at a majority.
	Linearizable bool `msg:"s"`
}

// PlanWindow is a window with its start, "HH:MM".
type PlanWindow struct {
	Name   string `msg:"n"`
	Starts string `msg:"s"`
}

// PlanPlacement is one copy of an adapter on a node in a window.
type PlanPlacement struct {
	Window  string `msg:"w"`
	Adapter string `msg:"a"`
	Node    string `msg:"n"`
}

// PlanResponse is what is in force, as far as the asker needs it. Revision 0 is nothing.
type PlanResponse struct {
	Revision   int64           `msg:"v"`
	Generation int64           `msg:"g"`
	Windows    []PlanWindow    `msg:"w"`
	Placements []PlanPlacement `msg:"p"`
	Absent     []string        `msg:"x"`
	// Nodes are all nodes of the rules; a node is not told them.
	Nodes []string `msg:"o"`
	// Collisions gives a line for each collision that keeps an older answer in force.
	Collisions []string  `msg:"c"`
	Value      PlanValue `msg:"b"`
}
