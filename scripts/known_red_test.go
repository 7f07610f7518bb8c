package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// goodEntry is a valid entry of KNOWN-RED.txt.
const goodEntry = "sample/one.TestSame; command: go test -run TestSame ./one (seed 7); seen: 2 of 3 answers late; they waited; issue 12"

// sampleModule writes a module of two packages that both have a test TestSame, with the scripts and a list of known failures.
func sampleModule(t *testing.T, list string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	files := map[string]string{
		"go.mod":        "module sample\n\ngo 1.21\n",
		"KNOWN-RED.txt": list,
		"one/one_test.go": `package one
import "testing"
func TestSame(t *testing.T) { t.Log("ran one.TestSame") }
func TestSameToo(t *testing.T) { t.Log("ran one.TestSameToo") }
func TestParts(t *testing.T) {
	t.Run("a part", func(t *testing.T) { t.Log("ran one.TestParts/a_part") })
	t.Run("a part more", func(t *testing.T) { t.Log("ran one.TestParts/a_part_more") })
	t.Run("x|y (z)", func(t *testing.T) { t.Log("ran one.TestParts/x|y_(z)") })
}
`,
		"two/two_test.go": `package two
import "testing"
func TestSame(t *testing.T) { t.Log("ran two.TestSame") }
`,
	}
	for _, script := range []string{"known_red.sh", "test_packages.sh"} {
		text, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		files["scripts/"+script] = string(text)
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// TestKnownRedPatterns checks that the patterns match exactly the listed tests of each package.
func TestKnownRedPatterns(t *testing.T) {
	const rest = "; command: go test (no seed); seen: it fails; issue 3\n"
	for name, c := range map[string]struct {
		list, packages, one, two string
	}{
		"an empty list":     {"", "", "", ""},
		"one":               {goodEntry + "\n", "sample/one", "^TestSame$", ""},
		"no last newline":   {goodEntry, "sample/one", "^TestSame$", ""},
		"a blank line":      {"\n" + goodEntry + "\n\n", "sample/one", "^TestSame$", ""},
		"more than three":   {"sample/one.TestSame" + rest + "sample/one.TestSameToo" + rest + "sample/two.TestSame" + rest + "sample/one.TestParts/a part" + rest, "sample/one\nsample/two", "^TestSame$|^TestSameToo$|^TestParts$/^a_part$", "^TestSame$"},
		"a subtest's parts": {"sample/one.TestParts/x|y (z)/deep.er" + rest, "sample/one", `^TestParts$/^x\|y_\(z\)$/^deep\.er$`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := sampleModule(t, c.list)
			for argument, want := range map[string]string{"": c.packages, "sample/one": c.one, "sample/two": c.two} {
				command := exec.Command("bash", filepath.Join(dir, "scripts/known_red.sh"))
				if argument != "" {
					command.Args = append(command.Args, argument)
				}
				out, err := command.CombinedOutput()
				if got := strings.TrimSuffix(string(out), "\n"); err != nil || got != want {
					t.Errorf("for %q it prints %q, want %q (%v)", argument, got, want, err)
				}
			}
		})
	}
}

// TestKnownRedRefuses checks that an invalid line is reported and nothing is printed for the others.
func TestKnownRedRefuses(t *testing.T) {
	for name, line := range map[string]string{
		"the old form":            "sample/one.TestSame: it fails at times, issue 67",
		"no package":              "TestSame; command: go test (no seed); seen: it fails; issue 3",
		"another module":          "other/one.TestSame; command: go test (no seed); seen: it fails; issue 3",
		"a package that is none":  "sample/three.TestSame; command: go test (no seed); seen: it fails; issue 3",
		"no test":                 "sample/one; command: go test (no seed); seen: it fails; issue 3",
		"a name that is no test":  "sample/one.Testament; command: go test (no seed); seen: it fails; issue 3",
		"a test that isn't there": "sample/one.TestOther; command: go test (no seed); seen: it fails; issue 3",
		"a pattern":               "sample/one.TestSame.*; command: go test (no seed); seen: it fails; issue 3",
		"an empty subtest":        "sample/one.TestParts/; command: go test (no seed); seen: it fails; issue 3",
		"no command":              "sample/one.TestSame; seen: it fails; issue 3",
		"an empty command":        "sample/one.TestSame; command: ; seen: it fails; issue 3",
		"no seed":                 "sample/one.TestSame; command: go test; seen: it fails; issue 3",
		"not what was seen":       "sample/one.TestSame; command: go test (no seed); issue 3",
		"nothing was seen":        "sample/one.TestSame; command: go test (no seed); seen: ; issue 3",
		"no issue":                "sample/one.TestSame; command: go test (no seed); seen: it fails",
		"an issue of no number":   "sample/one.TestSame; command: go test (no seed); seen: it fails; issue",
		"a remark":                "# fixed soon",
		"twice the same":          goodEntry,
	} {
		t.Run(name, func(t *testing.T) {
			dir := sampleModule(t, goodEntry+"\n"+line+"\n")
			for _, arguments := range [][]string{nil, {"sample/one"}} {
				command := exec.Command("bash", append([]string{filepath.Join(dir, "scripts/known_red.sh")}, arguments...)...)
				out, err := command.Output()
				failed, ended := err.(*exec.ExitError)
				if !ended || len(out) > 0 || !strings.Contains(string(failed.Stderr), "KNOWN-RED.txt:2: ") || !strings.Contains(string(failed.Stderr), line) {
					t.Errorf("arguments %q: it prints %q and ends with %v", arguments, out, err)
				}
			}
		})
	}
}

// TestListedTestsAreSkipped checks that of two tests of the same name, and of a test's subtests, only the listed one is skipped.
func TestListedTestsAreSkipped(t *testing.T) {
	const rest = "; command: go test (no seed); seen: it fails; issue 3\n"
	dir := sampleModule(t, goodEntry+"\nsample/one.TestParts/a part"+rest+"sample/one.TestParts/x|y (z)"+rest)
	command := exec.Command("bash", filepath.Join(dir, "scripts/test_packages.sh"), "-v -count=1", "sample/one", "sample/two")
	out, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for name, runs := range map[string]bool{"one.TestSame": false, "one.TestSameToo": true, "one.TestParts/a_part": false, "one.TestParts/a_part_more": true,
		"one.TestParts/x|y_(z)": false, "two.TestSame": true} {
		if ran := strings.Contains(string(out), "ran "+name+"\n"); ran != runs {
			t.Errorf("%s has run: %v, want %v\n%s", name, ran, runs, out)
		}
	}
}

// TestInvalidListFailsTheTests checks that an invalid list is an error and not taken for an empty list.
func TestInvalidListFailsTheTests(t *testing.T) {
	dir := sampleModule(t, "sample/one.TestSame: it fails\n")
	out, err := exec.Command("bash", filepath.Join(dir, "scripts/test_packages.sh"), "-count=1", "sample/two").CombinedOutput()
	if err == nil || strings.Contains(string(out), "ok") {
		t.Errorf("it ends with %v\n%s", err, out)
	}
}
