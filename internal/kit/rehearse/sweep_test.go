package rehearse

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A sweep's result hangs neither on how many days are played at once nor on where it was cut off; a state of something else, or a
// line that is not whole, does not get into it.
func TestSweep(t *testing.T) {
	dir := t.TempDir()
	state, page := filepath.Join(dir, "state"), filepath.Join(dir, "page.html")
	args := []string{"sweep", "site-lost", "--short", "--seeds", "2", "--json", "-", "--vary", "rate=40,90",
		"--vary", `discovery.lag=["1s","2s"],["0s","0s"]`, "--set", `length="9s"`, "--set", `trouble=[{kind="site-loss",site="south",at="3s",for="3s"}]`}
	run := func(want int, more ...string) string {
		var out, errs bytes.Buffer
		if status := Main(append(args, more...), &out, &errs); status != want {
			t.Fatalf("%v: status %d, %s", more, status, &errs)
		}
		return out.String() + map[bool]string{true: errs.String()}[want != held]
	}
	one := run(held, "--jobs", "1", "--state", state, "--html", page)
	if !strings.Contains(one, `"rate=90",`) || strings.Count(one, `"sets"`) != 4 {
		t.Errorf("%s", one)
	}
	if many := run(held, "--jobs", "5"); many != one {
		t.Error("another number of jobs gives another result")
	}
	text, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	if len(lines) != 10 { // a head, eight days, and nothing
		t.Fatalf("%d lines of state", len(lines))
	}
	cut := append(bytes.Join(lines[:4], nil), lines[5][:20]...)
	if err := os.WriteFile(state, cut, 0o600); err != nil {
		t.Fatal(err)
	}
	if again := run(held, "--state", state); again != one {
		t.Error("gone on with, it gives another result")
	}
	if says := run(badInput, "--state", state, "--seeds", "3"); !strings.Contains(says, "of another sweep") {
		t.Errorf("%s", says)
	}
	if html, err := os.ReadFile(page); err != nil || strings.Count(string(html), "<svg") != len(tabled) || strings.Contains(string(html), "http") {
		t.Errorf("%v, %d bytes", err, len(html))
	}
	if says := run(badInput, "--vary", "rate"); !strings.Contains(says, "KEY=A,B,C") {
		t.Errorf("%s", says)
	}
	if says := run(badInput, "--vary", "speed=1,2"); !strings.Contains(says, "unknown key") {
		t.Errorf("%s", says)
	}
}
