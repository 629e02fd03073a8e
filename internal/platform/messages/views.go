package messages

// Digest stands for a table of versioned entries: two tables with one sum are alike.
// Clock counts the changes that the sender's table went through in its incarnation.
type Digest struct {
	Incarnation int64  `msg:"l"`
	Clock       uint64 `msg:"c"`
	Sum         uint64 `msg:"s"`
	Count       int    `msg:"n"`
}

// Overdue says for how long a worker has been silent. Mark is the short hash of its id.
type Overdue struct {
	WorkerHash uint32 `msg:"m"`
	AgeMs      int64  `msg:"g"`
}

// RoleCount is how many live processes a role has in the whole fleet.
type RoleCount struct {
	Role  string `msg:"r"`
	Count int    `msg:"n"`
}

// Shuffle carries a part of a view, the sender first. Between a process and a controller
// it is the periodic exchange, with what that asks and tells besides.
type Shuffle struct {
	Entries []NodeInfo `msg:"e"`
	// KnownHashes are the hashes of the processes that the asker has in view; Ages answers
	// for them in the same order, in tens of ms, AgeUnknown where nothing is known.
	KnownHashes []uint32 `msg:"k"`
	Ages        []uint16 `msg:"g"`
	// OverdueComplete is set when a controller's Overdue names every worker that is silent.
	OverdueComplete bool        `msg:"j"`
	Workers         Digest      `msg:"w"`
	Overdue         []Overdue   `msg:"o"`
	Counts          []RoleCount `msg:"h"`
	// Table is the sender's whole directory, in a response to a pull.
	Table Digest `msg:"t"`
	// PlanRevision is the revision of the assignments that a controller follows.
	PlanRevision int64 `msg:"v"`
	// Brief marks a report to a second controller: its response is short.
	Brief bool `msg:"y"`
	// Detached is set by a controller that is not in contact with a majority of the
	// acceptors: what it knows may be old, and the asker reports elsewhere.
	Detached bool `msg:"z"`
}

// AgeUnknown stands for an age that can't be told, or for one too large to tell.
const AgeUnknown = 65535

// ControllerHeartbeat is what controllers tell each other once a period; the answer is one too.
type ControllerHeartbeat struct {
	From      NodeInfo `msg:"f"`
	Workers   Digest   `msg:"w"`
	Processes Digest   `msg:"p"`
	// ContactedWorkers and Met are the hashes of workers and processes that were in contact here
	// directly since the last word to this controller.
	ContactedWorkers []uint32 `msg:"b"`
	ContactedNodes   []uint32 `msg:"m"`
	// Generation is a generation that all of Met follow but those in Behind.
	Generation   int64    `msg:"g"`
	LaggingNodes []uint32 `msg:"u"`
	// PlanRevision is the revision of the assignments that the sender follows.
	PlanRevision int64 `msg:"v"`
}

// DirectoryPullRequest asks for processes changed after a clock; a Shuffle answers it.
type DirectoryPullRequest struct {
	Since uint64 `msg:"s"`
}

// WorkersPullRequest asks for the workers changed after a clock.
type WorkersPullRequest struct {
	From  string `msg:"f"`
	Since uint64 `msg:"s"`
	// Buckets are the sums of the asker's table by bucket of the workers' hashes, 4 bytes
	// each, a power of two of them: buckets that are alike are left out of the answer. Without
	// them nothing is left out.
	Buckets []byte `msg:"b,omitempty"`
}

// WorkersUpdate tells of workers.
type WorkersUpdate struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
	// Table is the sender's whole table, in a response to a pull.
	Table Digest `msg:"d"`
}

// RelayRequest asks a controller to tell its zone, and Expect names by their hashes whom the
// sender knows there.
type RelayRequest struct {
	From       string   `msg:"f"`
	Sequence   uint64   `msg:"n"`
	Expect     []uint32 `msg:"x"`
	Workers    []Worker `msg:"w"`
	Generation int64    `msg:"g"`
	Body       []byte   `msg:"b"`
}

// RelayWaitRequest asks how a relay came out, and is answered once it has.
type RelayWaitRequest struct {
	From     string `msg:"f"`
	Sequence uint64 `msg:"n"`
}

// RelayWaitResponse names those of the expected that were not reached.
type RelayWaitResponse struct {
	Known   bool     `msg:"k"`
	Missing []uint32 `msg:"m"`
}
