package fleetshell

import (
	"strings"

	"lemonarch/internal/platform/constants"
)

// named puts the names of programs in the place of the roles' words on the wire.
func named(answers []Answer) []Answer {
	for place := range answers {
		answer := &answers[place]
		answer.Process = processName(answer.Process)
		for _, row := range answer.Status.Rows {
			for column := range row {
				row[column] = processName(row[column])
			}
		}
	}
	return answers
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
