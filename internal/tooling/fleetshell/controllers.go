package fleetshell

import (
	"strings"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Controllers returns the addresses of the controllers that the seed knows.
func (s *Shell) Controllers() ([]string, error) {
	status := &messages.StatusResponse{}
	err := transport.Call(s.Transport, s.Seed, messages.KindStatus, &messages.StatusRequest{Query: "nodes"}, status, s.Timeout)
	if err != nil {
		return nil, ErrNoFleet.Wrap(err, "seed "+s.Seed+" did not respond (the seed must be an internal address)")
	}
	var addresses []string
	for _, row := range status.Rows {
		if role, _, _ := strings.Cut(row[0], "/"); role == membership.RoleController && len(row) > 2 {
			addresses = append(addresses, row[2])
		}
	}
	if len(addresses) == 0 {
		return nil, ErrNoFleet.New("seed " + s.Seed + " knows no controller")
	}
	return addresses, nil
}
