package constants

// roleNames gives the program of each role. On the wire the roles keep the words that
// earlier versions know, so that versions mix.
var roleNames = map[string]string{"forge": "gateway", "foreman": "controller", "locker": "store"}

// RoleName gives the name of a role for people and programs, from its word on the wire.
// A word that is not known stays as it is.
func RoleName(wire string) string {
	if name, known := roleNames[wire]; known {
		return name
	}
	return wire
}
