package messages

// Digest stands for a table of versioned entries: two tables with one sum are alike.
// Clock counts the changes that the sender's table went through in its life.
type Digest struct {
	Life  int64  `msg:"l"`
	Clock uint64 `msg:"c"`
	Sum   uint64 `msg:"s"`
	Count int    `msg:"n"`
}

// Overdue says for how long a worker has been silent. Mark is the short hash of its id.
type Overdue struct {
	Mark  uint32 `msg:"m"`
	AgeMs int64  `msg:"g"`
}

// Headcount is how many live processes a role has in the whole fleet.
type Headcount struct {
	Role  string `msg:"r"`
	Count int    `msg:"n"`
}

// Shuffle carries a part of a view, the sender first. Between a process and a controller
// it is the periodic exchange, with what that asks and tells besides.
type Shuffle struct {
	Entries []Entry `msg:"e"`
	// Known are the marks of the processes that the asker has in view; Ages answers
	// for them in the same order, in tens of ms, AgeUnknown where nothing is known.
	Known []uint32 `msg:"k"`
	Ages  []uint16 `msg:"g"`
	// Judging is set when a controller's Overdue names every worker that is silent.
	Judging bool        `msg:"j"`
	Workers Digest      `msg:"w"`
	Overdue []Overdue   `msg:"o"`
	Counts  []Headcount `msg:"h"`
	// Table is the sender's whole directory, in an answer to a pull.
	Table Digest `msg:"t"`
	// Plan is the revision of the assignments that a controller follows.
	Plan int64 `msg:"v"`
	// Brief marks a report to a second controller: its answer is short.
	Brief bool `msg:"y"`
	// Detached is set by a controller that is not in contact with a majority of the
	// acceptors: what it knows may be old, and the asker reports elsewhere.
	Detached bool `msg:"z"`
}

// AgeUnknown stands for an age that can't be told, or for one too large to tell.
const AgeUnknown = 65535

// ControllerBeat is what controllers tell each other once a period; the answer is one too.
type ControllerBeat struct {
	From      Entry  `msg:"f"`
	Workers   Digest `msg:"w"`
	Processes Digest `msg:"p"`
	// Beaten and Met are the marks of workers and processes that were heard here
	// directly since the last word to this controller.
	Beaten []uint32 `msg:"b"`
	Met    []uint32 `msg:"m"`
	// Follow is a generation that all of Met follow but those in Behind.
	Follow int64    `msg:"g"`
	Behind []uint32 `msg:"u"`
	// Plan is the revision of the assignments that the sender follows.
	Plan int64 `msg:"v"`
}

// DirectoryPull asks for processes changed after a clock; a Shuffle answers it.
type DirectoryPull struct {
	Since uint64 `msg:"s"`
}

// RosterPull asks for the workers changed after a clock.
type RosterPull struct {
	From  string `msg:"f"`
	Since uint64 `msg:"s"`
}

// RosterPush tells of workers.
type RosterPush struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
	// Table is the sender's whole table, in an answer to a pull.
	Table Digest `msg:"d"`
}

// Relay asks a controller to tell its zone, and Expect names by their marks whom the
// sender knows there.
type Relay struct {
	From       string   `msg:"f"`
	Number     uint64   `msg:"n"`
	Expect     []uint32 `msg:"x"`
	Workers    []Worker `msg:"w"`
	Generation int64    `msg:"g"`
	Body       []byte   `msg:"b"`
}

// RelayWait asks how a relay came out, and is answered once it has.
type RelayWait struct {
	From   string `msg:"f"`
	Number uint64 `msg:"n"`
}

// RelayDone names those of the expected that were not reached.
type RelayDone struct {
	Known   bool     `msg:"k"`
	Missing []uint32 `msg:"m"`
}
