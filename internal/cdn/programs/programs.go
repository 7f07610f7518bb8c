// Package programs lets a test binary play the network's three programs, so that tests on real processes need no build beside their own.
package programs

import (
	"os"

	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/edge"
	"cedarmast/internal/cdn/process"
	"cedarmast/internal/cdn/registry"
)

// variable names the program that a test binary is to play.
const variable = "LOCALNET_PROGRAM"

// Play plays the program that the environment names; false if it names none.
func Play() bool {
	all := map[string]process.Program{"configstore": {Name: "configstore", Run: configstore.Run}, "registry": {Name: "registry", Run: registry.Run},
		"edge": {Name: "edge", Run: edge.Run}}
	p, ok := all[os.Getenv(variable)]
	if !ok {
		return false
	}
	os.Args = append([]string{p.Name, "run"}, os.Args[1:]...)
	process.Main(p)
	return true
}

// Line is the command line by which this binary plays a program.
func Line(name string) []string {
	return []string{"/usr/bin/env", variable + "=" + name, os.Args[0]}
}
