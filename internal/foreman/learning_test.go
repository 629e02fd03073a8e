package foreman

import (
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// anHour is far longer than the test.
const anHour = 3_600_000_000_000

// A foreman that has just started acknowledges no drain and counts nobody until another
// gave it its tables: it could tell nobody.
func TestStartingForemanLearnsFirst(test *testing.T) {
	told := settings(test.TempDir(), false)
	told.Seeds = append(told.Seeds, "127.0.0.2:21000")
	foreman, failure := New(told, hclog.NewNullLogger())
	if failure != nil {
		test.Fatal(failure)
	}
	// However slow this machine is, the time to learn is not over.
	foreman.begun = watch.Now().Plus(anHour)
	server := httptest.NewServer(foreman.calls())
	defer server.Close()
	const drain = `{"backend":"s","address":"127.0.0.1:1","zone":"h","capacity":4,"phase":"draining","call-count":3}`
	heads := func() int {
		var answer *pattern.Shuffle
		asker := pattern.Entry{Name: "f", Role: bellows.RoleForge, Address: "127.0.0.3:1", Hall: "h"}
		foreman.Stand.Viewed(func(view *bellows.View) {
			answer = view.Answer(&pattern.Shuffle{Entries: []pattern.Entry{asker}}, watch.Now())
		})
		foreman.addWorkers(answer)
		return len(answer.Heads)
	}
	if status, _ := call(test, server, "POST", "/-/Workers.Heartbeat/w", "", drain); status != 503 || heads() != 0 {
		test.Fatal(status, heads())
	}
	// Another foreman's word, whose tables are empty too.
	other := pattern.Entry{Name: "o", Life: 1, Role: bellows.RoleForeman, Address: "127.0.0.2:21100", Hall: "h"}
	foreman.Stand.Hear([]pattern.Entry{other})
	var own pattern.Digest
	foreman.Stand.Viewed(func(view *bellows.View) { own = view.Digest() })
	foreman.heardBeat(&pattern.ForemanBeat{From: other, Workers: foreman.roster.Digest(1), Processes: own}, watch.Now())
	if status, body := call(test, server, "POST", "/-/Workers.Heartbeat/w", "", drain); status != 200 || heads() == 0 {
		test.Fatal(status, body, heads())
	}
}
