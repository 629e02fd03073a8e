package main

import "runtime/debug"

// version describes the build in one line: the module version, the source revision and whether the
// source was modified since, if the build recorded them, and the Go version.
func version(info *debug.BuildInfo, available bool) string {
	if !available {
		return "unknown build"
	}
	moduleVersion, revision, modified := info.Main.Version, "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision" && len(setting.Value) >= 12:
			revision = " " + setting.Value[:12]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " changed"
		}
	}
	if moduleVersion == "" {
		moduleVersion = "(devel)"
	}
	return moduleVersion + revision + modified + " " + info.GoVersion
}
