package messages

// ContactRequest asks an acceptor what it has accepted. An answer is what renews the asker's
// contact lease.
type ContactRequest struct {
	From string `msg:"f"`
}

// ContactResponse answers ContactRequest: the identity of the acceptor's disk, and the newest
// acceptor set and configuration that it has accepted, chosen or not.
type ContactResponse struct {
	Disk       string `msg:"d"`
	SetEpoch   uint64 `msg:"e"`
	Generation int64  `msg:"g"`
}

// WorkersPersistRequest asks a controller to have changes of workers on disk before it answers.
type WorkersPersistRequest struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
}

// WorkersRecoverRequest asks a controller for all that it knows of workers, on behalf of one
// that has just started.
type WorkersRecoverRequest struct {
	From string `msg:"f"`
}

// WorkersRecoverResponse answers WorkersRecoverRequest. Vouching is not set while the answering process
// has itself just started and knows no more than its file says.
type WorkersRecoverResponse struct {
	Authoritative bool     `msg:"v"`
	Disk          string   `msg:"d"`
	SetEpoch      uint64   `msg:"e"`
	Workers       []Worker `msg:"w"`
}
