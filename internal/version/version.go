// Package version tells which build this is.
package version

import "runtime/debug"

// Release is the version of the source tree.
const Release = "0.1.0"

// String returns release and, where the build recorded it, the revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Release + " " + setting.Value
		}
	}
	return Release
}
