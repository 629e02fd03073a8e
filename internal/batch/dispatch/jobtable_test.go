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
