package scenario

import (
	"embed"
	"path"
	"strings"
)

//go:embed builtin/*.toml
var builtinFiles embed.FS

//go:embed selftest.toml
var selftestText []byte

// Selftest returns the scenario that the ledger is tested with.
func Selftest() (*Scenario, error) { return Parse("selftest", selftestText) }

// BuiltinNames returns the names of the built-in scenarios.
func BuiltinNames() (names []string) {
	entries, _ := builtinFiles.ReadDir("builtin")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// BuiltinText returns the file of a built-in scenario.
func BuiltinText(name string) ([]byte, bool) {
	text, err := builtinFiles.ReadFile(path.Join("builtin", name+".toml"))
	return text, err == nil
}

// Find returns a built-in scenario, or reads a file. Each of sets is key=value, as in Parse.
func Find(name string, sets ...string) (*Scenario, error) {
	if text, ok := BuiltinText(name); ok {
		return Parse(name, text, sets...)
	}
	return Load(name, sets...)
}
