package messages

// LotCall passes a client's call on a lot to the holder.
type LotCall struct {
	Method string `msg:"m"`
	Host   string `msg:"h"`
	Path   string `msg:"p"`
	Lot    string `msg:"l"`
	Item   string `msg:"i"`
	Cursor int    `msg:"c"`
	HoldMs int    `msg:"w"`
	Body   []byte `msg:"b"`
	// Relayed says that another gateway passed it on, which happens once at most.
	Relayed bool `msg:"y"`
	// Ask names one question to one process, so that a second copy of it is known.
	Ask string `msg:"k"`
	// LiveMs is how long from its arrival a hand-in may still be taken; each hop
	// counts it down by its own steady clock. Zero sets no bound.
	LiveMs int64 `msg:"t"`
	// Until is the moment on the receiver's own steady clock that follows from it,
	// in ns; zero sets no bound.
	Until int64 `msg:"-"`
}

// LotAnswer is what the holder says to it.
type LotAnswer struct {
	Status  int    `msg:"s"`
	Body    []byte `msg:"b"`
	RetryMs int    `msg:"r"`
	// Elsewhere is set when the asked process does not hold the duty.
	Elsewhere bool   `msg:"e"`
	Holder    string `msg:"h"`
	// Kind is the media type of the body.
	Kind string `msg:"k"`
}

// Record is one durable fact about a lot. Lots, outputs and ends are never changed.
type Record struct {
	Index    int64      `msg:"x"`
	Epoch    uint64     `msg:"e"`
	Kind     RecordKind `msg:"k"`
	Lot      string     `msg:"l"`
	Item     string     `msg:"i"`
	Position int        `msg:"p"`
	Dropped  bool       `msg:"d"`
	AtMs     int64      `msg:"t"`
	Route    string     `msg:"r"`
	Host     string     `msg:"h"`
	Body     []byte     `msg:"b"`
	// Acquisition is the acquisition whose acknowledgement this records, if any.
	Acquisition uint64 `msg:"a"`
	// Packed says that the body of an output is compressed (DEFLATE).
	Packed bool `msg:"z"`
}

// Stretch says that records from First on were written under Epoch.
type Stretch struct {
	Epoch uint64 `msg:"e"`
	First int64  `msg:"f"`
}

// Raise asks a store to take orders of this epoch only, from now on.
type Raise struct {
	Epoch uint64 `msg:"e"`
	Disk  string `msg:"d"`
}

// Raised answers with what the store has.
type Raised struct {
	Granted   bool      `msg:"k"`
	Epoch     uint64    `msg:"e"`
	Last      int64     `msg:"l"`
	Stretches []Stretch `msg:"s"`
	// Base is the index up to which the store has compacted its records.
	Base int64 `msg:"b"`
}

// Append gives a store records that follow Previous; what it has beyond is cut.
type Append struct {
	Epoch         uint64   `msg:"e"`
	Disk          string   `msg:"d"`
	PreviousIndex int64    `msg:"x"`
	PreviousEpoch uint64   `msg:"y"`
	Records       []Record `msg:"r"`
	// Done is the index up to which all is durable: only there may a store act on
	// what records say.
	Done int64 `msg:"o"`
	// Base and BaseEpoch are set where the records are a part of a copy that was
	// compacted up to there: those up to Base are not consecutive.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}

// Appended answers once the records are synced.
type Appended struct {
	Granted   bool      `msg:"k"`
	Epoch     uint64    `msg:"e"`
	Last      int64     `msg:"l"`
	Stretches []Stretch `msg:"s"`
	Base      int64     `msg:"b"`
}

// Fetch asks a store for the records from First on.
type Fetch struct {
	First int64  `msg:"f"`
	Epoch uint64 `msg:"e"`
	// Disk, where it is named, is the only one that may answer: one that came back
	// empty has other records, or none.
	Disk string `msg:"d"`
}

// CopyOrder has a store fetch records First to Last from another one and keep them,
// under the epoch of the holder that asks.
type CopyOrder struct {
	Epoch      uint64 `msg:"e"`
	Disk       string `msg:"d"`
	Source     string `msg:"s"`
	SourceDisk string `msg:"o"`
	First      int64  `msg:"f"`
	Last       int64  `msg:"l"`
}

// Fetched carries some of them, and whether there are more.
type Fetched struct {
	Granted bool     `msg:"k"`
	Records []Record `msg:"r"`
	Last    int64    `msg:"l"`
	// Base and BaseEpoch: see Append.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}

// HolderTold tells who holds the duty.
type HolderTold struct {
	Duty Duty `msg:"d"`
	// Over says that the holder has given its duty up: others need not wait.
	Over bool `msg:"o"`
}

// StatusAsk asks a process for a part of its state.
type StatusAsk struct {
	Query string `msg:"q"`
	// Zone, where it is set, keeps the rows of one zone only.
	Zone string `msg:"h"`
}

// Status answers with rows for people and tools.
type Status struct {
	Columns []string   `msg:"c"`
	Rows    [][]string `msg:"r"`
}

// LotItem is one item of a lot, as it is kept.
type LotItem struct {
	ID      string            `msg:"i"`
	Path    string            `msg:"p"`
	Headers map[string]string `msg:"h"`
	Body    []byte            `msg:"b"`
	Tokens  int64             `msg:"t"`
}

// LotBody is the body of a lot's record.
type LotBody struct {
	Path  string    `msg:"p"`
	Items []LotItem `msg:"i"`
}

// ReplicaRecord is one record on a store's disk: a raised fence, a cut of the tail,
// or a record of lots.
type ReplicaRecord struct {
	Fence  uint64 `msg:"f"`
	CutTo  int64  `msg:"c"`
	HasCut bool   `msg:"k"`
	Has    bool   `msg:"h"`
	Entry  Record `msg:"e"`
	Disk   string `msg:"d"`
	// Base, where it is set, begins a copy that is compacted up to there; BaseEpoch
	// is the epoch of the record there.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}
