package messages

// Digest represents a table of versioned entries: two tables with the same sum are equal. Clock
// counts the changes of the sender's table during its incarnation.
type Digest struct {
	Incarnation int64  `msg:"l"`
	Clock       uint64 `msg:"c"`
	Sum         uint64 `msg:"s"`
	Count       int    `msg:"n"`
}

// Overdue states how long a worker has been silent. WorkerHash is the short hash of its id.
type Overdue struct {
	WorkerHash uint32 `msg:"m"`
	AgeMs      int64  `msg:"g"`
}

// RoleCount is the number of live processes of a role in the whole fleet.
type RoleCount struct {
	Role  string `msg:"r"`
	Count int    `msg:"n"`
}

// Shuffle contains part of a view, the sender first. Between a process and a controller it is the
// periodic report or its response, which also use the other fields.
type Shuffle struct {
	Entries []NodeInfo `msg:"e"`
	// KnownHashes contains the hashes of the processes in the requester's view. In the response,
	// Ages contains their ages in the same order, in tens of ms, or AgeUnknown.
	KnownHashes []uint32 `msg:"k"`
	Ages        []uint16 `msg:"g"`
	// OverdueComplete is set if a controller's Overdue contains every worker that is silent.
	OverdueComplete bool        `msg:"j"`
	Workers         Digest      `msg:"w"`
	Overdue         []Overdue   `msg:"o"`
	Counts          []RoleCount `msg:"h"`
	// Table is the digest of the sender's whole directory, in a response to a pull.
	Table Digest `msg:"t"`
	// PlanRevision is the revision of the assignments that a controller uses.
	PlanRevision int64 `msg:"v"`
	// Brief marks a report to a second controller, which gets a short response.
	Brief bool `msg:"y"`
	// Detached is set by a controller that is not in contact with a majority of the acceptors.
	// Its state may be outdated, so the requester reports to another controller.
	Detached bool `msg:"z"`
}

// AgeUnknown represents an age that is unknown or too large to encode.
const AgeUnknown = 65535

// ControllerHeartbeat is sent between controllers once a period. The response is one, too.
type ControllerHeartbeat struct {
	From      NodeInfo `msg:"f"`
	Workers   Digest   `msg:"w"`
	Processes Digest   `msg:"p"`
	// ContactedWorkers and ContactedNodes contain the hashes of the workers and processes that
	// were in direct contact with the sender since its last heartbeat to the receiver.
	ContactedWorkers []uint32 `msg:"b"`
	ContactedNodes   []uint32 `msg:"m"`
	// Generation is a generation that all of ContactedNodes use, except those in LaggingNodes.
	Generation   int64    `msg:"g"`
	LaggingNodes []uint32 `msg:"u"`
	// PlanRevision is the revision of the assignments that the sender uses.
	PlanRevision int64 `msg:"v"`
}

// DirectoryPullRequest requests the processes that changed after a clock value. The response is a
// Shuffle.
type DirectoryPullRequest struct {
	Since uint64 `msg:"s"`
}

// WorkersPullRequest requests the workers that changed after a clock value.
type WorkersPullRequest struct {
	From  string `msg:"f"`
	Since uint64 `msg:"s"`
	// Buckets contains the sums of the requester's table by bucket of the workers' hashes, 4 bytes
	// each. The number of buckets is a power of two. Buckets with equal sums are omitted from the
	// response. Without Buckets, nothing is omitted.
	Buckets []byte `msg:"b,omitempty"`
}

// WorkersUpdate contains the state of workers.
type WorkersUpdate struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
	// Table is the digest of the sender's whole table, in a response to a pull.
	Table Digest `msg:"d"`
}

// RelayRequest asks a controller to forward an update to its zone. Expect contains the hashes of the
// processes that the sender knows there.
type RelayRequest struct {
	From       string   `msg:"f"`
	Sequence   uint64   `msg:"n"`
	Expect     []uint32 `msg:"x"`
	Workers    []Worker `msg:"w"`
	Generation int64    `msg:"g"`
	Body       []byte   `msg:"b"`
}

// RelayWaitRequest requests the result of a relay. The response is sent once the relay has ended.
type RelayWaitRequest struct {
	From     string `msg:"f"`
	Sequence uint64 `msg:"n"`
}

// RelayWaitResponse contains the hashes of the expected processes that were not reached.
type RelayWaitResponse struct {
	Known   bool     `msg:"k"`
	Missing []uint32 `msg:"m"`
}
