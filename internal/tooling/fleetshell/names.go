package fleetshell

import (
	"strings"

	"lemonarch/internal/platform/constants"
)

// named puts the names of programs in the place of the roles' words on the wire.
func translateRoles(responses []Response) []Response {
	for i := range responses {
		resp := &responses[i]
		resp.Process = processName(resp.Process)
		for _, row := range resp.Status.Rows {
			for column := range row {
				row[column] = processName(row[column])
			}
		}
	}
	return responses
}

// processName gives the name of a process, role/machine, for people. Anything else stays
// as it is.
func processName(key string) string {
	role, machine, found := strings.Cut(key, "/")
	if !found {
		return key
	}
	return constants.RoleName(role) + "/" + machine
}
