package messages

// JobCallRequest forwards a client's call on a batch job to the leader.
type JobCallRequest struct {
	Method string `msg:"m"`
	Host   string `msg:"h"`
	Path   string `msg:"p"`
	Job    string `msg:"l"`
	Item   string `msg:"i"`
	Cursor int    `msg:"c"`
	WaitMs int    `msg:"w"`
	Body   []byte `msg:"b"`
	// Forwarded says that another gateway passed it on, which happens once at most.
	Forwarded bool `msg:"y"`
	// RequestID names one request to one process, so that a second copy of it is known.
	RequestID string `msg:"k"`
	// TTLMs is how long from its arrival a submission may still be taken; each hop
	// counts it down by its own steady clock. Zero sets no bound.
	TTLMs int64 `msg:"t"`
	// ExpiresAt is the instant on the receiver's own steady clock that follows from it,
	// in ns; zero sets no bound.
	ExpiresAt int64 `msg:"-"`
	// BodyBytes is the length of the body that an offer is about.
	BodyBytes int `msg:"z,omitempty"`
}

// MethodOffer is the method of a call that asks whether a job may be sent now, without its
// body. It has no effect; StatusSendNow answers that the body is to come.
const (
	MethodOffer   = "OFFER"
	StatusSendNow = 100
)

// JobCallResponse is what the holder says to it.
type JobCallResponse struct {
	Status       int    `msg:"s"`
	Body         []byte `msg:"b"`
	RetryAfterMs int    `msg:"r"`
	// NotLeader is set when the process that was asked does not lead.
	NotLeader bool   `msg:"e"`
	Leader    string `msg:"h"`
	// ContentType is the media type of the body.
	ContentType string `msg:"k"`
}

// Record is one durable fact about a batch job. Jobs, outputs and ends are never changed.
type Record struct {
	Index     int64      `msg:"x"`
	Epoch     uint64     `msg:"e"`
	Kind      RecordKind `msg:"k"`
	Job       string     `msg:"l"`
	Item      string     `msg:"i"`
	Position  int        `msg:"p"`
	Abandoned bool       `msg:"d"`
	AtMs      int64      `msg:"t"`
	Route     string     `msg:"r"`
	Host      string     `msg:"h"`
	Body      []byte     `msg:"b"`
	// Acquisition is the acquisition whose acknowledgement this records, if any.
	Acquisition uint64 `msg:"a"`
	// Compressed says that the body of an output is compressed (DEFLATE).
	Compressed bool `msg:"z"`
}

// EpochRange says that records from First on were written under Epoch.
type EpochRange struct {
	Epoch uint64 `msg:"e"`
	First int64  `msg:"f"`
}

// FenceRequest asks a store to take orders of this epoch only, from now on.
type FenceRequest struct {
	Epoch uint64 `msg:"e"`
	Disk  string `msg:"d"`
}

// FenceResponse answers with what the store has.
type FenceResponse struct {
	Granted     bool         `msg:"k"`
	Epoch       uint64       `msg:"e"`
	Last        int64        `msg:"l"`
	EpochRanges []EpochRange `msg:"s"`
	// Base is the index up to which the store has compacted its records.
	Base int64 `msg:"b"`
}

// AppendRequest gives a store records that follow Previous; what it has beyond is cut.
type AppendRequest struct {
	Epoch         uint64   `msg:"e"`
	Disk          string   `msg:"d"`
	PreviousIndex int64    `msg:"x"`
	PreviousEpoch uint64   `msg:"y"`
	Records       []Record `msg:"r"`
	// CommitIndex is the index up to which all is durable: only there may a store act on
	// what records say.
	CommitIndex int64 `msg:"o"`
	// Base and BaseEpoch are set where the records are a part of a copy that was
	// compacted up to there: those up to Base are not consecutive.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
	// Forward names a further store to which the receiver passes the records on.
	Forward *AppendForward `msg:"w,omitempty"`
}

// AppendForward names a store to which an append is passed on: its address and its disk. The
// store that passes it on tells the leader, at ReportTo, how it came out.
type AppendForward struct {
	Address  string `msg:"a"`
	Disk     string `msg:"d"`
	ReportTo string `msg:"t"`
}

// AppendForwarded tells a leader of an epoch what a store answered to an append that was
// passed on to it.
type AppendForwarded struct {
	Epoch    uint64         `msg:"e"`
	Address  string         `msg:"a"`
	Disk     string         `msg:"d"`
	Response AppendResponse `msg:"r"`
}

// AppendResponse answers once the records are synced.
type AppendResponse struct {
	Granted     bool         `msg:"k"`
	Epoch       uint64       `msg:"e"`
	Last        int64        `msg:"l"`
	EpochRanges []EpochRange `msg:"s"`
	Base        int64        `msg:"b"`
}

// FetchRequest asks a store for the records from First on.
type FetchRequest struct {
	First int64  `msg:"f"`
	Epoch uint64 `msg:"e"`
	// Disk, where it is named, is the only one that may answer: one that came back
	// empty has other records, or none.
	Disk string `msg:"d"`
}

// CopyRequest has a store fetch records First to Last from another one and keep them,
// under the epoch of the holder that asks.
type CopyRequest struct {
	Epoch      uint64 `msg:"e"`
	Disk       string `msg:"d"`
	Source     string `msg:"s"`
	SourceDisk string `msg:"o"`
	First      int64  `msg:"f"`
	Last       int64  `msg:"l"`
}

// FetchResponse carries some of them, and whether there are more.
type FetchResponse struct {
	Granted bool     `msg:"k"`
	Records []Record `msg:"r"`
	Last    int64    `msg:"l"`
	// Base and BaseEpoch: see Append.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}

// LeaderAnnouncement tells who leads.
type LeaderAnnouncement struct {
	Leadership Leadership `msg:"d"`
	// Resigned says that the leader has resigned: others need not wait.
	Resigned bool `msg:"o"`
}

// The status queries that people know by another name than the one on the wire, which earlier
// versions go by.
const (
	QueryLeadership = "duty"
	QueryJobs       = "lots"
	QuerySlowness   = "pace"
)

// StatusRequest asks a process for a part of its state.
type StatusRequest struct {
	Query string `msg:"q"`
	// Zone, where it is set, keeps the rows of one zone only.
	Zone string `msg:"h"`
}

// StatusResponse answers with rows for people and tools.
type StatusResponse struct {
	Columns []string   `msg:"c"`
	Rows    [][]string `msg:"r"`
}

// JobItem is one item of a job, as it is kept.
type JobItem struct {
	ID      string            `msg:"i"`
	Path    string            `msg:"p"`
	Headers map[string]string `msg:"h"`
	Body    []byte            `msg:"b"`
	Tokens  int64             `msg:"t"`
}

// JobBody is the body of a job's record.
type JobBody struct {
	Path  string    `msg:"p"`
	Items []JobItem `msg:"i"`
}

// ReplicaRecord is one record on a store's disk: a raised fence, a cut of the tail,
// or a record of batch jobs.
type ReplicaRecord struct {
	Fence         uint64 `msg:"f"`
	TruncateTo    int64  `msg:"c"`
	HasTruncation bool   `msg:"k"`
	HasEntry      bool   `msg:"h"`
	Entry         Record `msg:"e"`
	Disk          string `msg:"d"`
	// Base, where it is set, begins a copy that is compacted up to there; BaseEpoch
	// is the epoch of the record there.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}
