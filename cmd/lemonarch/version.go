package main

import "runtime/debug"

// version names the build in one line: the source's revision and whether it was
// changed since, where the build knows them, and the Go that made it.
func version(info *debug.BuildInfo, known bool) string {
	if !known {
		return "unknown build"
	}
	name, revision, changed := info.Main.Version, "", ""
	for _, one := range info.Settings {
		switch {
		case one.Key == "vcs.revision" && len(one.Value) >= 12:
			revision = " " + one.Value[:12]
		case one.Key == "vcs.modified" && one.Value == "true":
			changed = " changed"
		}
	}
	if name == "" {
		name = "(devel)"
	}
	return name + revision + changed + " " + info.GoVersion
}
