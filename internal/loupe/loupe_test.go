package loupe

import (
	"bytes"
	"strings"
	"testing"

	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

func fleet(test *testing.T) (*tongs.Room, tongs.Transport) {
	room := tongs.NewRoom()
	for _, name := range []string{"forge/a", "forge/b", "locker/c"} {
		_ = room.Transport(name + ":1").Serve(func(kind pattern.Kind, body []byte) ([]byte, error) {
			question := &pattern.StatusAsk{}
			if kind != pattern.KindStatus || tongs.Read(body, question) != nil {
				return nil, nil
			}
			answer := &pattern.Status{Columns: []string{"what"}, Rows: [][]string{{question.Query + " of " + name}}}
			if question.Query == "nodes" {
				answer = &pattern.Status{Columns: []string{"process", "hall", "address"}}
				for _, other := range []string{"forge/a", "forge/b", "locker/c"} {
					answer.Rows = append(answer.Rows, []string{other, "h", other + ":1"})
				}
			}
			return tongs.Write(answer)
		})
	}
	return room, room.Transport("shell")
}

func TestSilenceIsShown(test *testing.T) {
	room, transport := fleet(test)
	room.Cut("forge/b:1", true)
	glass, failure := New(transport, "forge/a:1", watch.Milliseconds(200))
	if failure != nil {
		test.Fatal(failure)
	}
	answers, failure := glass.Ask("index")
	if failure != nil || len(answers) != 3 || !answers[1].Silent || answers[0].Silent {
		test.Fatal(answers, failure)
	}
	var table, list bytes.Buffer
	Table(&table, answers)
	if !strings.Contains(table.String(), "forge/b  SILENT") || !strings.Contains(table.String(), "index of locker/c") {
		test.Fatal(table.String())
	}
	if JSON(&list, answers) != nil || !strings.Contains(list.String(), `"silent": true`) {
		test.Fatal(list.String())
	}
	if answers, _ = glass.Ask("lots"); len(answers) != 1 || answers[0].Process != "locker/c" {
		test.Fatal(answers)
	}
}

func TestBadCalls(test *testing.T) {
	_, transport := fleet(test)
	if _, failure := New(transport, "nowhere", 1); !mishap.Of(failure, BadCall) {
		test.Fatal(failure)
	}
	glass, _ := New(transport, "forge/a:1", watch.Milliseconds(200))
	if _, failure := glass.Ask("weather"); !mishap.Of(failure, BadCall) {
		test.Fatal(failure)
	}
	lost, _ := New(transport, "forge/z:1", watch.Milliseconds(200))
	if _, failure := lost.Ask("nodes"); !mishap.Of(failure, NoFleet) {
		test.Fatal(failure)
	}
}
