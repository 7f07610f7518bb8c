// Package programs lets a test binary run as one of the network's three programs, so that tests with real processes need no other build.
package programs

import (
	"os"

	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/edge"
	"cedarmast/internal/cdn/process"
	"cedarmast/internal/cdn/registry"
)

// programVariable is the environment variable that names the program to run as.
const programVariable = "LOCALNET_PROGRAM"

// RunIfRequested runs the program that the environment names, and returns false if it names none.
func RunIfRequested() bool {
	byName := map[string]process.Program{"configstore": {Name: "configstore", Check: configstore.CheckSettings, Run: configstore.Run},
		"registry": {Name: "registry", Check: registry.CheckSettings, Run: registry.Run}, "edge": {Name: "edge", Check: edge.CheckSettings, Run: edge.Run}}
	p, ok := byName[os.Getenv(programVariable)]
	if !ok {
		return false
	}
	os.Args = append([]string{p.Name, "run"}, os.Args[1:]...)
	process.Main(p)
	return true
}

// CommandLine returns the command line that runs this binary as the named program.
func CommandLine(name string) []string {
	return []string{"/usr/bin/env", programVariable + "=" + name, os.Args[0]}
}
