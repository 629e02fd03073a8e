package dispatch

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

func TestPositionsNeverChange(t *testing.T) {
	jobs := NewJobTable()
	body := &messages.JobBody{Items: []messages.JobItem{{ID: "x", Tokens: 5}, {ID: "y", Tokens: 7}}}
	encoded, _ := body.MarshalMsg(nil)
	apply := func(record messages.Record) error { return jobs.Apply(&record) }
	if apply(messages.Record{Kind: messages.RecordJob, Job: "l", Body: encoded}) != nil {
		t.Fatal("lot refused")
	}
	all := func(*Job) bool { return true }
	if jobs.Waiting(all) != 12 {
		t.Fatal(jobs.Waiting(all))
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "y"}) != nil || jobs.Waiting(all) != 5 {
		t.Fatal("output refused")
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "x", Position: 0}) == nil {
		t.Fatal("a position was given twice")
	}
	if apply(messages.Record{Kind: messages.RecordJobEnd, Job: "l"}) != nil || jobs.Job("l").Open() || jobs.Waiting(all) != 0 {
		t.Fatal("an ended lot is open")
	}
	if got := jobs.Job("l").Listings; len(got) != 1 || got[0].Item != "y" {
		t.Fatal(got)
	}
}

// What the inputs of items take is counted until they are listed, ended or forgotten.
func TestInputsAreCounted(t *testing.T) {
	jobs := NewJobTable()
	apply := func(record messages.Record) {
		t.Helper()

		if err := jobs.Apply(&record); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		body := &messages.JobBody{Items: []messages.JobItem{{ID: id + "1", Body: make([]byte, 100)}, {ID: id + "2", Body: make([]byte, 50), Headers: map[string]string{"name": "value"}}}}
		encoded, err := body.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		apply(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded})
	}
	whole := int64(150 + headerEntryBytes + len("name") + len("value"))
	steps := []struct {
		record messages.Record
		want   int64
	}{
		{messages.Record{Kind: messages.RecordOutput, Job: "a", Item: "a1"}, 3*whole - 100},
		{messages.Record{Kind: messages.RecordJobEnd, Job: "a"}, 2 * whole},
		{messages.Record{Kind: messages.RecordForget, Job: "a"}, 2 * whole},
		{messages.Record{Kind: messages.RecordForget, Job: "b"}, whole},
		{messages.Record{Kind: messages.RecordJobEnd, Job: "c"}, 0},
	}
	for number, step := range steps {
		if apply(step.record); jobs.InputBytes() != step.want {
			t.Fatal("step", number, jobs.InputBytes(), "bytes, not", step.want)
		}
	}
}
