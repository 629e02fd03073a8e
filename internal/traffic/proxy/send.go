package proxy

import (
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

func (r *Request) wait() workerconn.Wait {
	return workerconn.Wait{Until: r.Deadline, SilenceTimeout: r.SilenceTimeout, ShouldGiveUp: r.ShouldGiveUp}
}

// send writes the request on a connection and waits for the first byte that comes back.
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
			err = connection.Await(outgoing.wait())
		}
		if err == nil {
			s.Pool.RecordReuse(connection)
			return connection, evidence, nil
		}
		s.Pool.Drop(connection)
		if again, failure := s.afterBreak(connection, outgoing, evidence, err); !again {
			return nil, evidence, failure.Wrap(err, grant.Worker.ID)
		}
		reuse = workerconn.ReuseNone
	}
}

// afterBreak decides on a connection that broke before any byte came back: whether the
// request goes again to the same worker on a new connection, and else how the attempt ended.
func (s *Sender) afterBreak(connection *workerconn.Connection, outgoing *Request, evidence Evidence, err error) (again bool, failure *errs.Kind) {
	failure = ErrResponseLost
	if !evidence.Sent {
		failure = ErrNotSent
	}
	if !connection.Reused || connection.Halted() || errs.Is(err, workerconn.ErrWorkerUnresponsive) {
		return false, failure
	}
	// On a connection that had lain idle it was most likely forgotten. The request may have
	// run all the same: only what is repeatable, or was not sent at all, goes again.
	s.Pool.RecordStale(connection)
	if evidence.Sent && !outgoing.Retryable {
		return false, ErrStaleConnection
	}
	return true, nil
}
