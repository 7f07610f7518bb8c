package rehearse

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSweep checks that a sweep's result depends neither on the number of concurrent runs nor on where it was interrupted, and that a
// state file of another sweep or an incomplete line is not used.
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
		return out.String() + map[bool]string{true: errs.String()}[want != exitOK]
	}
	reference := run(exitOK, "--jobs", "1", "--state", state, "--html", page)
	if !strings.Contains(reference, `"rate=90",`) || strings.Count(reference, `"sets"`) != 4 {
		t.Errorf("%s", reference)
	}
	if parallel := run(exitOK, "--jobs", "5"); parallel != reference {
		t.Error("another number of jobs gives another result")
	}
	text, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	if len(lines) != 10 { // a header, eight runs, and an empty remainder
		t.Fatalf("%d lines of state", len(lines))
	}
	truncated := append(bytes.Join(lines[:4], nil), lines[5][:20]...)
	if err := os.WriteFile(state, truncated, 0o600); err != nil {
		t.Fatal(err)
	}
	if resumed := run(exitOK, "--state", state); resumed != reference {
		t.Error("gone on with, it gives another result")
	}
	if says := run(exitBadInput, "--state", state, "--seeds", "3"); !strings.Contains(says, "of another sweep") {
		t.Errorf("%s", says)
	}
	if html, err := os.ReadFile(page); err != nil || strings.Count(string(html), "<svg") != len(tableMeasures) || strings.Contains(string(html), "http") {
		t.Errorf("%v, %d bytes", err, len(html))
	}
	if says := run(exitBadInput, "--vary", "rate"); !strings.Contains(says, "KEY=A,B,C") {
		t.Errorf("%s", says)
	}
	if says := run(exitBadInput, "--vary", "speed=1,2"); !strings.Contains(says, "unknown key") {
		t.Errorf("%s", says)
	}
}
