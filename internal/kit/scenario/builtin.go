package scenario

import (
	"embed"
	"path"
	"strings"
)

//go:embed builtin/*.toml
var builtin embed.FS

//go:embed selftest.toml
var selftest []byte

// Selftest is the day on which the ledger is tried.
func Selftest() (*Scenario, error) { return Parse("selftest", selftest) }

// Names are the scenarios that the kit brings.
func Names() (names []string) {
	entries, _ := builtin.ReadDir("builtin")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Text is the file of one of them.
func Text(name string) ([]byte, bool) {
	text, err := builtin.ReadFile(path.Join("builtin", name+".toml"))
	return text, err == nil
}

// Find returns a scenario that the kit brings, or reads a file.
func Find(name string, sets ...string) (*Scenario, error) {
	if text, ok := Text(name); ok {
		return Parse(name, text, sets...)
	}
	return Load(name, sets...)
}
