package constants

import "time"

// Limits on the resources of a process that clients may use. A client that respects the limits of
// the configuration does not reach any of these while the process has free capacity.
const (
	// ClientConnectionsShare is the share of memory-mb that connections may use, and
	// ClientConnectionBytes the estimate for one connection: stacks and buffers, the uncounted
	// bytes of its request, and the received bytes that are not yet read, on the connection and
	// on one that waits to be accepted.
	ClientConnectionsShare = 0.3
	ClientConnectionBytes  = 24<<10 + ClientUnmeteredBytes + 4*ClientReceiveBuffer
	// ClientConnectionsMin is the minimum connection limit of a listener.
	ClientConnectionsMin = 16
	// ClientBytesShare is the share of memory-mb that headers and bodies may use beyond that.
	ClientBytesShare = 0.2
	// ClientUnmeteredBytes is how many bytes a request may use without being counted, so that an
	// ordinary request is accepted whatever the others use.
	ClientUnmeteredBytes = 16 << 10
	// ClientReceiveBuffer is SO_RCVBUF of a client's connection, in bytes. The kernel doubles it.
	ClientReceiveBuffer = 16 << 10
	// HeaderLineBytes is the memory overhead of a header line besides its text, in bytes.
	HeaderLineBytes = 160
	// HeadSlack is by how many bytes the request line and the headers together may exceed the header
	// limit, which does not include the request line.
	HeadSlack = 4 << 10
	// ServerHeadMax is the header limit of http.Server, in bytes. It is that high because the
	// listener enforces the limit.
	ServerHeadMax = 1 << 30
	// LingerBytes and LingerTimeout bound what is read and discarded before a connection is
	// closed on which the client is still sending. LingerTimeout is also how long a draining
	// listener leaves a connection open after a response.
	LingerBytes   = 1 << 20
	LingerTimeout = 300 * time.Millisecond
	// BodyFirstBytes is the size in bytes of the first buffer of a body of unknown length, and
	// BodyAnnouncedBytes the maximum size of the first buffer of a body of known length.
	BodyFirstBytes     = 4 << 10
	BodyAnnouncedBytes = 16 << 10
	// FileHandlesReserved is the number of file descriptors that are reserved for files, and
	// ClientHandlesShare the share of the others that a listener's connections may use.
	FileHandlesReserved = 200
	ClientHandlesShare  = 0.5
	// ClientGrace is how long the reception of a request may take before the request can be
	// evicted as slow to free memory or a connection.
	ClientGrace = time.Second
	// ClientRateWindow is the time over which the bytes received from a client are counted, to
	// find the slowest client.
	ClientRateWindow = time.Second
	// ClientUnreadTimeout is how long a client may leave a response unread before its connection may
	// be closed in favour of a new one.
	ClientUnreadTimeout = 3 * time.Second
	// ClientMemoryTimeout is how long a request waits for memory that other requests are freeing.
	ClientMemoryTimeout = 250 * time.Millisecond
	// ClientRetryAfter is the Retry-After of a request that was rejected for lack of memory.
	ClientRetryAfter = 250 * time.Millisecond
	// DrainRetryAfter is the Retry-After of a request that was rejected because the process drains.
	// Another process can serve it at once.
	DrainRetryAfter = 20 * time.Millisecond
	// ClientRejectionTimeout bounds the writing of a rejection.
	ClientRejectionTimeout = 100 * time.Millisecond
	// ClientDrainTimeout is how long the rest of a body that is not needed is read and discarded.
	ClientDrainTimeout = time.Second
	// ClientBodyTimeoutMin is the minimum timeout for reading a body, whatever time its client has left.
	ClientBodyTimeoutMin = 100 * time.Millisecond
	// ClientLogPeriod is the time between two log lines about rejected clients.
	ClientLogPeriod = 10 * time.Second
	// ControlBodyTimeout is the timeout for reading a body on the control port, and ControlIdle
	// the idle timeout of connections there.
	ControlBodyTimeout = 30 * time.Second
	ControlIdle        = 60 * time.Second
	// ReadinessConnections is the connection limit of the readiness port. The platform sends one
	// probe per second.
	ReadinessConnections = 64
)
