package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
)

// BenchmarkAnswer is a controller's work for one report in a fleet of 390.
func BenchmarkAnswer(b *testing.B) {
	own := entry(RoleController, 1)
	own.Role = RoleController
	view := NewView(own, 1)
	var asker messages.Entry
	for place := 0; place < 390; place++ {
		one := entry(fmt.Sprint("n", place), 1)
		one.Zone = fmt.Sprint("h", place%4)
		asker = one
		view.Heard([]messages.Entry{one}, 0)
	}
	question := &messages.Shuffle{Entries: []messages.Entry{asker}}
	for _, one := range view.Answer(question, 0).Entries[1:] {
		question.Known = append(question.Known, MarkOf(one))
	}
	b.ResetTimer()
	for count := 0; count < b.N; count++ {
		view.Heard(question.Entries, 0)
		view.Answer(question, 0)
	}
}
