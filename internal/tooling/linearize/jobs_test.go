package linearize

import (
	"testing"

	"lemonarch/internal/platform/errs"
)

// jobOperation is one operation of a hand-written history.
type jobOperation struct {
	begun, ended int64
	call         JobCall
	reply        JobReply
}

func checkJobs(list []jobOperation) error {
	history := History{}
	for client, operation := range list {
		history.Begin(client, operation.call, JobReply{}, operation.begun).End(operation.reply, operation.ended)
	}
	return history.Check(JobsModel(), checkLimit)
}

// TestJobsModel checks which histories of one batch job the sequential model allows.
func TestJobsModel(t *testing.T) {
	submit, end := JobCall{Kind: JobSubmit, Job: "x"}, JobCall{Kind: JobEnd, Job: "x"}
	read := func(from int) JobCall { return JobCall{Kind: JobRead, Job: "x", From: from} }
	received := func(results ...string) JobReply { return JobReply{Outcome: JobDone, Results: results} }
	rejected, missing := JobReply{Outcome: JobRejected}, JobReply{Outcome: JobMissing}
	for name, test := range map[string]struct {
		legal bool
		list  []jobOperation
	}{
		"accepted, read, ended":                      {true, []jobOperation{{0, 1, submit, received()}, {2, 3, read(0), received("a", "b")}, {4, 5, read(1), received("b", "c")}, {6, 7, end, received()}, {8, 9, read(3), received()}}},
		"an unclear submission may take effect late": {true, []jobOperation{{0, 1, submit, JobReply{}}, {2, 3, read(0), missing}, {4, 5, submit, rejected}, {6, 7, read(0), received("a")}}},
		"one read skips some results":                {true, []jobOperation{{0, 1, submit, received()}, {2, 3, read(2), received("c")}, {4, 5, read(0), received("a", "b", "c")}}},
		"an accepted job is missing":                 {false, []jobOperation{{0, 1, submit, received()}, {2, 3, read(0), missing}}},
		"an accepted job is rejected":                {false, []jobOperation{{0, 1, submit, received()}, {2, 3, submit, rejected}}},
		"a rejected job runs":                        {false, []jobOperation{{0, 1, submit, rejected}, {2, 3, read(0), received("a")}}},
		"a result changes":                           {false, []jobOperation{{0, 1, submit, received()}, {2, 3, read(0), received("a", "b")}, {4, 5, read(1), received("c")}}},
		"a listed result is missing":                 {false, []jobOperation{{0, 1, submit, received()}, {2, 3, read(0), received("a", "b")}, {4, 5, read(1), received()}}},
		"two readers at once disagree":               {false, []jobOperation{{0, 1, submit, received()}, {2, 5, read(0), received("a")}, {3, 4, read(0), received("b")}}},
	} {
		err := checkJobs(test.list)
		if test.legal && err != nil || !test.legal && !errs.Is(err, ErrNotLinearizable) {
			t.Errorf("%s: check returned error %v, want a legal history: %v", name, err, test.legal)
		}
	}
}
