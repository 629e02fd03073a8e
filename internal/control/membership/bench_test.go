package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
)

// BenchmarkRespondToReport measures a controller's response to one report in a fleet of 390 processes.
func BenchmarkRespondToReport(b *testing.B) {
	own := entry(RoleController, 1)
	own.Role = RoleController
	view := NewView(own, 1)
	var reporter messages.NodeInfo
	for i := 0; i < 390; i++ {
		info := entry(fmt.Sprint("n", i), 1)
		info.Zone = fmt.Sprint("h", i%4)
		reporter = info
		view.Observe([]messages.NodeInfo{info}, 0)
	}
	req := &messages.Shuffle{Entries: []messages.NodeInfo{reporter}}
	for _, info := range view.RespondToReport(req, 0).Entries[1:] {
		req.KnownHashes = append(req.KnownHashes, Hash(info))
	}
	b.ResetTimer()
	for count := 0; count < b.N; count++ {
		view.Observe(req.Entries, 0)
		view.RespondToReport(req, 0)
	}
}
