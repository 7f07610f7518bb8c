// Package build identifies the version and build of a program.
package build

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the next release, which this source tree is developed towards.
const Version = "0.2.0-dev"

// VersionLine returns the line that the `version` command prints: program, version, revision if known, Go version and platform.
func VersionLine(program string) string {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " (" + s.Value[:min(len(s.Value), 12)] + ")"
			}
		}
	}
	return fmt.Sprintf("%s %s%s %s %s/%s", program, Version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
