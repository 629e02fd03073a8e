package messages

// NamedPrepareRequest is PrepareRequest for a named register. It has a Kind of its own, so that a
// process of a version with a single register never mistakes it for a request for that register.
type NamedPrepareRequest struct {
	Name    string         `msg:"n"`
	Request PrepareRequest `msg:"p"`
}

// NamedAcceptRequest is AcceptRequest for a named register.
type NamedAcceptRequest struct {
	Name    string        `msg:"n"`
	Request AcceptRequest `msg:"a"`
}

// NamedReadRequest requests the sets of a named register. The response is a RegisterResponse.
type NamedReadRequest struct {
	Name string `msg:"n"`
}

// PlanValue is the body of the register of assignments.
type PlanValue struct {
	// Rules is the operator's file, and Solution the plan in force for it (JSON).
	Rules    []byte `msg:"r"`
	Solution []byte `msg:"a"`
	// Absent contains the names of the absent nodes, without which the plan was made.
	Absent []string `msg:"g"`
	// Collisions is the refusal (JSON) if the rules can't be met without the absent nodes, and empty
	// otherwise. With collisions, Solution is the last one that was found.
	Collisions []byte `msg:"c"`
}

// PlanApplyRequest asks a controller to put rules and their solution in force, based on a revision
// of the register.
type PlanApplyRequest struct {
	// Base is the revision that the plan replaces; the request is rejected if another is in force.
	Base     int64  `msg:"b"`
	Rules    []byte `msg:"r"`
	Solution []byte `msg:"a"`
}

// PlanApplyResponse states whether the plan was applied, and the reason if it was not.
type PlanApplyResponse struct {
	Applied bool `msg:"k"`
	// Unclear means that the plan may or may not be in force.
	Unclear  bool   `msg:"u"`
	Revision int64  `msg:"v"`
	Reason   string `msg:"w"`
}

// PlanRequest requests the assignments of one node, or those of all nodes and the value itself.
type PlanRequest struct {
	Node     string `msg:"n"`
	Complete bool   `msg:"w"`
	// Linearizable requests a read from a majority.
	Linearizable bool `msg:"s"`
}

// PlanWindow is a time window with its start as "HH:MM".
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

// PlanResponse contains the plan in force, as far as the requester needs it. Revision is that of the
// register of assignments, and rises also when a plan is made for the same rules; 0 means that there
// is no plan. Generation is that of the operator's rules.
type PlanResponse struct {
	Revision   int64           `msg:"v"`
	Generation int64           `msg:"g"`
	Windows    []PlanWindow    `msg:"w"`
	Placements []PlanPlacement `msg:"p"`
	Absent     []string        `msg:"x"`
	// Nodes contains all nodes of the rules. It is empty in a response to a node.
	Nodes []string `msg:"o"`
	// Collisions contains a line for each collision because of which an older solution is in force.
	Collisions []string  `msg:"c"`
	Value      PlanValue `msg:"b"`
}
