package fleetshell

import (
	"strings"

	"lemonarch/internal/platform/constants"
)

// translateRoles replaces the roles' names on the wire by the names of the programs.
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

// processName translates the key of a process, role/machine, to its displayed name. Any other text is
// returned unchanged.
func processName(key string) string {
	role, machine, found := strings.Cut(key, "/")
	if !found {
		return key
	}
	return constants.RoleName(role) + "/" + machine
}
