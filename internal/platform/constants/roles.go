package constants

// roleNames maps a role on the wire to its program. The roles on the wire keep the names that
// earlier versions use, so that different versions can run in one fleet.
var roleNames = map[string]string{"forge": "gateway", "foreman": "controller", "locker": "store"}

// RoleName returns the name of a role for people and programs, given its name on the wire. An
// unknown name is returned unchanged.
func RoleName(wire string) string {
	if name, known := roleNames[wire]; known {
		return name
	}
	return wire
}
