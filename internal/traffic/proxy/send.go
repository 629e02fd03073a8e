package proxy

import (
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// waitOptions returns the limits for waiting for the response.
func (r *Request) waitOptions() workerconn.Wait {
	return workerconn.Wait{Until: r.Deadline, SilenceTimeout: r.SilenceTimeout, ShouldGiveUp: r.ShouldGiveUp}
}

// send writes the request to a connection and waits for the first byte of the response. If a reused
// connection turns out to be stale, it may send the request again on a new one.
func (s *Sender) send(grant *admission.Grant, outgoing *Request) (*workerconn.Connection, Evidence, error) {
	reuse, evidence := workerconn.ReuseSafe, Evidence{}
	if outgoing.Retryable {
		reuse = workerconn.ReuseAny
	}
	for {
		connection, err := s.Pool.Get(grant.Worker, s.Budget(grant.Worker), outgoing.Attempt, reuse)
		if err != nil {
			return nil, evidence, ErrNotSent.Wrap(err, grant.Worker.ID)
		}
		if outgoing.OnConnection != nil {
			outgoing.OnConnection(connection)
		}
		err = connection.Send(outgoing.Attempt, outgoing.Text, outgoing.Deadline)
		if !errs.Is(err, workerconn.ErrNotSent) {
			evidence.Sent = true
		}
		if err == nil {
			err = connection.Await(outgoing.waitOptions())
		}
		if err == nil {
			s.Pool.RecordReuse(connection)
			return connection, evidence, nil
		}
		s.Pool.Drop(connection)
		if retry, kind := s.handleBrokenConnection(connection, outgoing, evidence, err); !retry {
			return nil, evidence, kind.Wrap(err, grant.Worker.ID)
		}
		reuse = workerconn.ReuseNone
	}
}

// handleBrokenConnection handles a connection that broke before any byte of the response arrived.
// It returns whether to send the request again to the same worker on a new connection, and
// otherwise the kind of the error.
func (s *Sender) handleBrokenConnection(connection *workerconn.Connection, outgoing *Request, evidence Evidence, err error) (retry bool, kind *errs.Kind) {
	kind = ErrResponseLost
	if !evidence.Sent {
		kind = ErrNotSent
	}
	if !connection.Reused || connection.ClosedLocally() || errs.Is(err, workerconn.ErrWorkerUnresponsive) {
		return false, kind
	}
	// The worker had most likely discarded the idle connection. The request may still have run, so it
	// is sent again only if it is retryable or was not sent at all.
	s.Pool.RecordStale(connection)
	if evidence.Sent && !outgoing.Retryable {
		return false, ErrStaleConnection
	}
	return true, nil
}
