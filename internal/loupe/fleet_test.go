package loupe

import (
	"fmt"
	"testing"

	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// A seed that knows few leads to a foreman, which names all, hall by hall; a foreman
// that is silent is passed over.
func TestAllAreAskedThroughAForeman(test *testing.T) {
	room := tongs.NewRoom()
	columns := []string{"process", "hall", "address"}
	row := func(key, hall string) []string { return []string{key, hall, key + ":1"} }
	halls := map[string][][]string{"a": {row("foreman/y", "a"), row("foreman/x", "a")}, "b": {}}
	for place := 0; place < 150; place++ {
		hall := []string{"a", "b"}[place%2]
		halls[hall] = append(halls[hall], row(fmt.Sprint("forge/n", place), hall))
	}
	serve := func(name string) {
		_ = room.Transport(name + ":1").Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
			question, answer := &pattern.StatusAsk{}, &pattern.Status{Columns: []string{"what"}, Rows: [][]string{{"own"}}}
			if failure := tongs.Read(body, question); failure != nil {
				return nil, failure
			}
			switch {
			case question.Query == "halls":
				answer = &pattern.Status{Columns: []string{"hall", "processes"}, Rows: [][]string{{"a", "77"}, {"b", "75"}}}
			case question.Query == "nodes" && question.Hall != "":
				answer = &pattern.Status{Columns: columns, Rows: halls[question.Hall]}
			case question.Query == "nodes":
				answer = &pattern.Status{Columns: columns, Rows: [][]string{row("foreman/x", "a"), row("foreman/y", "a"), row("forge/n0", "a")}}
			}
			return tongs.Write(answer)
		})
	}
	for _, list := range halls {
		for _, one := range list {
			serve(one[0])
		}
	}
	room.Cut("foreman/x:1", true)
	glass, _ := New(room.Transport("shell"), "forge/n0:1", watch.Milliseconds(500))
	answers, failure := glass.Ask("config")
	silent := 0
	for _, one := range answers {
		if one.Silent {
			silent++
		}
	}
	if failure != nil || len(answers) != 152 || silent != 1 {
		test.Fatal(len(answers), silent, failure)
	}
}
