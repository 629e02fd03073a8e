package messages

// NodeInfo is what a process reports about itself and about others.
type NodeInfo struct {
	Name        string `msg:"n"`
	Incarnation int64  `msg:"l"`
	Role        string `msg:"r"`
	Zone        string `msg:"h"`
	Address     string `msg:"a"`
	// Disk is the identity of the process's disk, empty if it has none.
	Disk string `msg:"d"`
	// AgeMs is the time since the last contact with the process, in ms.
	AgeMs    int64 `msg:"g"`
	Draining bool  `msg:"x"`
	// Generation is the generation of the configuration that the process uses.
	Generation int64 `msg:"c"`
}

// Ballot orders the rounds of the register.
type Ballot struct {
	Counter uint64 `msg:"c"`
	Node    string `msg:"n"`
}

// Member is a member of the acceptor or store set: a name with the identity of its disk.
type Member struct {
	Name    string `msg:"n"`
	Disk    string `msg:"d"`
	Address string `msg:"a"`
	Zone    string `msg:"h"`
}

// Version identifies one body of a register: a configuration, or in the register of assignments a
// plan, whose revision is Generation. Base is the generation of the version that it replaces, and Hash
// the SHA-256 of the body in hexadecimal.
type Version struct {
	Generation int64  `msg:"g"`
	Base       int64  `msg:"b"`
	Hash       string `msg:"h"`
}

// Leadership identifies the process that is the leader for batch jobs, fenced by its epoch.
type Leadership struct {
	Holder      string `msg:"h"`
	Incarnation int64  `msg:"l"`
	Address     string `msg:"a"`
	Epoch       uint64 `msg:"e"`
}

// RegisterValue is the value that the acceptors agree on.
type RegisterValue struct {
	Current   Version   `msg:"c"`
	Body      []byte    `msg:"b"`
	History   []Version `msg:"y"`
	Acceptors []Member  `msg:"a"`
	// Previous is the old acceptor set while the set changes, and empty otherwise.
	Previous []Member `msg:"p"`
	SetEpoch uint64   `msg:"e"`
	Stores   []Member `msg:"s"`
	// Retired contains the names of the store machines that are to be emptied.
	Retired    []string   `msg:"r"`
	Leadership Leadership `msg:"d"`
	// StoresSequence is the number of the newest change of Stores in the current epoch, and zero
	// before the first. Numbers restart in each epoch.
	StoresSequence uint64 `msg:"z,omitempty"`
	// Archive identifies the versions that were committed before the history begins.
	Archive ArchiveHead `msg:"x"`
}

// PrepareRequest opens a round. With Query set it only reads, and the acceptor promises nothing.
type PrepareRequest struct {
	Ballot Ballot `msg:"b"`
	Disk   string `msg:"d"`
	Query  bool   `msg:"q"`
	// WithoutBody requests a response to a query without the configuration's body.
	WithoutBody bool `msg:"s"`
	// Archive is an additional request, in a query, about versions committed long ago.
	Archive *ArchiveRequest `msg:"x,omitempty"`
}

// PrepareResponse is the response to PrepareRequest.
type PrepareResponse struct {
	Granted  bool          `msg:"k"`
	Promised Ballot        `msg:"p"`
	Accepted Ballot        `msg:"a"`
	Value    RegisterValue `msg:"v"`
	// Archive is the response to PrepareRequest.Archive.
	Archive *ArchiveResponse `msg:"x,omitempty"`
}

// AcceptRequest asks an acceptor to accept a value.
type AcceptRequest struct {
	Ballot Ballot        `msg:"b"`
	Disk   string        `msg:"d"`
	Value  RegisterValue `msg:"v"`
}

// AcceptResponse is the response to AcceptRequest.
type AcceptResponse struct {
	Granted  bool   `msg:"k"`
	Promised Ballot `msg:"p"`
}

// LeaseRequest asks an acceptor to grant or renew the leader's lease.
type LeaseRequest struct {
	Candidate   string `msg:"c"`
	Incarnation int64  `msg:"l"`
	Epoch       uint64 `msg:"e"`
	// Release is set to release a granted lease.
	Release bool `msg:"r"`
	// Sequence counts the requests of an incarnation, so that a release that arrives late does
	// not release a lease that was granted after it was sent.
	Sequence uint64 `msg:"t"`
}

// LeaseResponse grants the lease, or contains in WaitMs how long the acceptor will not grant it.
type LeaseResponse struct {
	Granted bool   `msg:"k"`
	WaitMs  int64  `msg:"w"`
	Epoch   uint64 `msg:"e"`
}

// RegisterChangeRequest asks a controller to change the leadership or the store set in the register.
type RegisterChangeRequest struct {
	Campaign    bool       `msg:"t"`
	Holder      Leadership `msg:"h"`
	ExpectEpoch uint64     `msg:"x"`
	Stores      []Member   `msg:"s"`
	// Sequence numbers the leader's changes of the store set, from 1 in each epoch. A change that
	// arrives after a later one has no effect. Zero means that the sender does not number them.
	Sequence uint64 `msg:"q,omitempty"`
}

// RegisterResponse contains the value of the register after the request, without the body.
type RegisterResponse struct {
	Applied bool          `msg:"k"`
	Known   bool          `msg:"n"`
	Value   RegisterValue `msg:"v"`
}

// AcceptorRecord is the state of an acceptor on disk. Each record replaces the previous one.
type AcceptorRecord struct {
	Disk     string        `msg:"d"`
	First    []Member      `msg:"f"`
	Promised Ballot        `msg:"p"`
	Accepted Ballot        `msg:"a"`
	HasValue bool          `msg:"h"`
	Value    RegisterValue `msg:"v"`
}

// ConfigPush contains a chosen configuration.
type ConfigPush struct {
	Generation int64  `msg:"g"`
	Body       []byte `msg:"b"`
	// ForwardTo contains the addresses to which the receiver forwards the configuration.
	ForwardTo []string `msg:"p"`
}

// ConfigPull requests the newest configuration. The response is a ConfigPush.
type ConfigPull struct {
	Known int64 `msg:"k"`
}

// Worker is a registered worker.
type Worker struct {
	ID       string `msg:"i"`
	Backend  string `msg:"b"`
	Address  string `msg:"a"`
	Zone     string `msg:"h"`
	Capacity int    `msg:"c"`
	Phase    Phase  `msg:"p"`
	// WarmupMs is how long the worker is still warming up, in ms.
	WarmupMs int64 `msg:"w"`
	// CallCount orders the worker's calls: of two states, the one with the higher count is newer.
	CallCount int64 `msg:"n"`
	// AgeMs is the time since the worker's last heartbeat, in ms.
	AgeMs    int64  `msg:"g"`
	Software string `msg:"s"`
}

// Ack is a response without content, and the request of a kind that needs none. In the response to a
// ConfigPush, Accepted is not set if the receiver still uses an earlier generation.
type Ack struct {
	Accepted bool `msg:"t"`
}

// Residency is a residency sample: how likely a worker still has a prefix in its cache, according
// to a node.
type Residency struct {
	Path        []byte  `msg:"p"`
	Tokens      int     `msg:"t"`
	Worker      string  `msg:"w"`
	Probability float32 `msg:"c"`
	// AgeMs is the age of the evidence, and SampleAgeMs that of the sample itself, in ms.
	AgeMs       int64 `msg:"a"`
	SampleAgeMs int64 `msg:"m"`
}

// Gossip contains the samples that changed most, and is sent once a period. Loads and Prefixes are
// packed samples (gossip.go), so that the size of a packet is bounded. Fields added later are
// skipped by receivers that do not know them.
type Gossip struct {
	Format     int        `msg:"v"`
	From       string     `msg:"f"`
	Generation int64      `msg:"g"`
	Loads      []byte     `msg:"o"`
	Prefixes   []byte     `msg:"x"`
	Pressure   []Pressure `msg:"p"`
	// ReplyTo is the address to which the sender wants gossip to be sent. It is set if too few
	// processes send to it.
	ReplyTo string `msg:"q"`
}

// Pressure states that requests of a priority wait for capacity at a service. A lower number is a
// higher priority. Waiting is the number of these requests.
type Pressure struct {
	Service  string `msg:"s"`
	Priority int    `msg:"p"`
	Waiting  int    `msg:"w"`
}

// PressureNotice reports pressure at once, ahead of the next gossip.
type PressureNotice struct {
	From    string     `msg:"f"`
	Entries []Pressure `msg:"w"`
	// Hops is how often the notice may still be forwarded. Sharers is the number of processes of
	// the receiver's role that are to free slots between them. Zero means that the receiver need
	// not free any.
	Hops    int `msg:"h"`
	Sharers int `msg:"s"`
}

// PrefillNotice reports, ahead of the next gossip, that a worker has a long prompt to prefill.
type PrefillNotice struct {
	From   string `msg:"f"`
	Worker string `msg:"w"`
	// Prefill is the estimated time of the prefill, in ms.
	Prefill float64 `msg:"r"`
	// Forward asks the receiver to notify the processes of its zone that place requests on the
	// worker.
	Forward bool `msg:"p"`
}
