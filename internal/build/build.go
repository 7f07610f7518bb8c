// Package build tells which build of the project a program is.
package build

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the release that this tree leads to.
const Version = "0.2.0-dev"

// Line is the one line that `version` prints: program, version, revision if known, tool chain.
func Line(program string) string {
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
