package bellows

import (
	"fmt"
	"testing"

	"lemonarch/internal/pattern"
)

// BenchmarkAnswer is a foreman's work for one report in a fleet of 390.
func BenchmarkAnswer(bench *testing.B) {
	own := entry("foreman", 1)
	own.Role = RoleForeman
	view := NewView(own, 1)
	var asker pattern.Entry
	for place := 0; place < 390; place++ {
		one := entry(fmt.Sprint("n", place), 1)
		one.Hall = fmt.Sprint("h", place%4)
		asker = one
		view.Heard([]pattern.Entry{one}, 0)
	}
	question := &pattern.Shuffle{Entries: []pattern.Entry{asker}}
	for _, one := range view.Answer(question, 0).Entries[1:] {
		question.Known = append(question.Known, MarkOf(one))
	}
	bench.ResetTimer()
	for count := 0; count < bench.N; count++ {
		view.Heard(question.Entries, 0)
		view.Answer(question, 0)
	}
}
