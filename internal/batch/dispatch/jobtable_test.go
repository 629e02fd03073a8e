package dispatch

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

// Clients read results by position, so a position that has a result must keep it. A second output at the
// same position is an error, and the end of a job leaves its listed results.
func TestPositionsNeverChange(t *testing.T) {
	jobs := NewJobTable()
	body := &messages.JobBody{Items: []messages.JobItem{{ID: "x", Tokens: 5}, {ID: "y", Tokens: 7}}}
	encoded, _ := body.MarshalMsg(nil)
	apply := func(record messages.Record) error { return jobs.Apply(&record) }
	if apply(messages.Record{Kind: messages.RecordJob, Job: "l", Body: encoded}) != nil {
		t.Fatal("job record rejected")
	}
	all := func(*Job) bool { return true }
	if jobs.WaitingTokens(all) != 12 {
		t.Fatalf("got %d waiting tokens, want 12", jobs.WaitingTokens(all))
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "y"}) != nil || jobs.WaitingTokens(all) != 5 {
		t.Fatal("output record rejected, or waiting tokens not 5")
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "x", Position: 0}) == nil {
		t.Fatal("second output at the same position was accepted")
	}
	if apply(messages.Record{Kind: messages.RecordJobEnd, Job: "l"}) != nil || jobs.Job("l").Open() || jobs.WaitingTokens(all) != 0 {
		t.Fatal("ended job is open or has waiting tokens")
	}
	if got := jobs.Job("l").Listings; len(got) != 1 || got[0].Item != "y" {
		t.Fatalf("got listings %v, want only item y", got)
	}
}

// The memory of item inputs is counted until the item is listed or its job is ended or forgotten.
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
	jobBytes := int64(150 + headerEntryBytes + len("name") + len("value"))
	steps := []struct {
		record messages.Record
		want   int64
	}{
		{messages.Record{Kind: messages.RecordOutput, Job: "a", Item: "a1"}, 3*jobBytes - 100},
		{messages.Record{Kind: messages.RecordJobEnd, Job: "a"}, 2 * jobBytes},
		{messages.Record{Kind: messages.RecordForget, Job: "a"}, 2 * jobBytes},
		{messages.Record{Kind: messages.RecordForget, Job: "b"}, jobBytes},
		{messages.Record{Kind: messages.RecordJobEnd, Job: "c"}, 0},
	}
	for number, step := range steps {
		if apply(step.record); jobs.InputBytes() != step.want {
			t.Fatalf("got %d input bytes after step %d, want %d", jobs.InputBytes(), number, step.want)
		}
	}
}
