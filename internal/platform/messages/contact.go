package messages

// ContactRequest asks an acceptor what it has accepted. Responses renew the requester's contact
// lease.
type ContactRequest struct {
	From string `msg:"f"`
}

// ContactResponse is the response to ContactRequest: the identity of the acceptor's disk, and the
// newest acceptor set and configuration that it has accepted, chosen or not.
type ContactResponse struct {
	Disk       string `msg:"d"`
	SetEpoch   uint64 `msg:"e"`
	Generation int64  `msg:"g"`
}

// WorkersPersistRequest asks a controller to write changes of workers to disk before it responds.
type WorkersPersistRequest struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
}

// WorkersRecoverRequest asks a controller for everything that it knows about workers. It is sent
// by a controller that has just started.
type WorkersRecoverRequest struct {
	From string `msg:"f"`
}

// WorkersRecoverResponse is the response to WorkersRecoverRequest. Authoritative is not set while
// the responding process has just started itself and knows only what is in its file.
type WorkersRecoverResponse struct {
	Authoritative bool     `msg:"v"`
	Disk          string   `msg:"d"`
	SetEpoch      uint64   `msg:"e"`
	Workers       []Worker `msg:"w"`
}
