package main

import "runtime/debug"

// version names the build in one line: the source's revision and whether it was
// changed since, where the build knows them, and the Go that made it.
func version(info *debug.BuildInfo, known bool) string {
	if !known {
		return "unknown build"
	}
	name, revision, changed := info.Main.Version, "", ""
	for _, entry := range info.Settings {
		switch {
		case entry.Key == "vcs.revision" && len(entry.Value) >= 12:
			revision = " " + entry.Value[:12]
		case entry.Key == "vcs.modified" && entry.Value == "true":
			changed = " changed"
		}
	}
	if name == "" {
		name = "(devel)"
	}
	return name + revision + changed + " " + info.GoVersion
}
