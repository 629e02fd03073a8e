package loupe

import (
	"strings"

	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
)

// Foremen gives the addresses of the control processes that the seed knows.
func (loupe *Loupe) Foremen() ([]string, error) {
	seen := &pattern.Status{}
	failure := tongs.Ask(loupe.Transport, loupe.Seed, pattern.KindStatus, &pattern.StatusAsk{Query: "nodes"}, seen, loupe.Limit)
	if failure != nil {
		return nil, NoFleet.Wrap(failure, "seed "+loupe.Seed+" does not answer (its internal address is needed)")
	}
	var addresses []string
	for _, row := range seen.Rows {
		if role, _, _ := strings.Cut(row[0], "/"); role == "foreman" && len(row) > 2 {
			addresses = append(addresses, row[2])
		}
	}
	if len(addresses) == 0 {
		return nil, NoFleet.New("seed " + loupe.Seed + " knows no foreman")
	}
	return addresses, nil
}
