package rehearse

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/daemon"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
)

// TestMain makes the test binary act as the kit, and as the routers that it starts, when called with their arguments.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "cedarmast":
			os.Exit(daemon.Main(nil, os.Getenv, os.Stdout, os.Stderr))
		case "hang": // never becomes ready and ignores signals
			os.WriteFile(os.Getenv("HANG_PID"), fmt.Append(nil, os.Getpid()), 0o600)
			time.Sleep(time.Minute)
			os.Exit(0)
		case "crash", "hog": // works for 1500 ms, then exits or exhausts its memory
			go func() {
				time.Sleep(1500 * time.Millisecond)
				for memory := []byte{1}; os.Args[1] == "hog"; memory = append(memory, memory...) {
					time.Sleep(10 * time.Millisecond)
				}
				os.Exit(3)
			}()
			os.Exit(Main([]string{"faulty", "none"}, os.Stdout, os.Stderr))
		case "faulty", "baseline", "run", "selftest":
			os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
		}
	}
	os.Exit(m.Run())
}

// TestSelftest checks that the ledger detects each faulty router's broken rule and none of the correct router. It skips if the machine
// was too slow.
func TestSelftest(t *testing.T) {
	var out, errs bytes.Buffer
	switch status := Main([]string{"selftest"}, &out, &errs); status {
	case exitOK:
	case exitTooLate:
		t.Skipf("the machine ran late:\n%s", &out)
	default:
		t.Errorf("status %d\n%s%s", status, &out, &errs)
	}
}

// TestCalmDayOnSockets runs a short scenario without troubles against cedarmast: all rules hold and nearly all requests are served in
// time.
func TestCalmDayOnSockets(t *testing.T) {
	s, err := scenario.Find("calm", "warm_up=2s", "length=6s", "short=6s", "expect.score=0.9")
	if err != nil {
		t.Fatal(err)
	}
	report, err := rig.Run(t.Context(), s, rig.Options{Seed: 1, Router: []string{os.Args[0], "cedarmast"}})
	if errors.Is(err, rig.ErrHostTooSlow) {
		t.Skipf("%v: %.1f ms", err, report.HostLateMS)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !report.RulesHeld || report.Requests < 300 || report.Answered < report.Requests*9/10 || len(report.Beliefs) != 3 {
		t.Errorf("held %v, score %.3f, %d of %d answered, missed %v, %d routers said what they believe; %v", report.RulesHeld,
			report.Score, report.Answered, report.Requests, report.Missed, len(report.Beliefs), report.Breaches)
	}
	var page bytes.Buffer
	if err := writeHTML(&page, report); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"<svg", "north-c1", "p99.9", "What each router believed"} {
		if !strings.Contains(page.String(), part) {
			t.Errorf("the page has no %q", part)
		}
	}
	for _, outside := range []string{"http://", "https://", "src=", "@import"} {
		if strings.Contains(page.String(), outside) {
			t.Errorf("the page points outside itself: %q", outside)
		}
	}
}

// TestRouterExitFailsRun checks that a run fails if a router exits by itself or exceeds its memory limit.
func TestRouterExitFailsRun(t *testing.T) {
	for _, how := range []string{"crash", "hog"} {
		s, err := scenario.Find("calm", "warm_up=0s", "length=4s", "short=4s", "rate=40", "limits.memory_mb=64", "site[1].routers=0", "site[2].routers=0")
		if err != nil {
			t.Fatal(err)
		}
		s.Expect = scenario.Expect{}
		report, err := rig.Run(t.Context(), s, rig.Options{Seed: 1, Router: []string{os.Args[0], how}})
		if report == nil {
			t.Fatal(err)
		}
		if report.RulesHeld || report.Crashes != 1 || report.Unheard == 0 {
			t.Errorf("%s: held %v, %d crashes, %d tries unheard", how, report.RulesHeld, report.Crashes, report.Unheard)
		}
	}
}

// TestReportKeys checks that the report's JSON keys that other programs read are present.
func TestReportKeys(t *testing.T) {
	text, err := json.Marshal(&ledger.Report{Classes: map[string]ledger.ClassReport{"c": {}}})
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"score", "worst_window", "requests", "answered", "lost", "double_effects", "drain_breaks", "cold_falls",
		"held_back", "classes", "database_peak", "host_late_ms", "held", "troubles", "timeline", "stale_sends", "stale_refusals"} {
		if _, ok := keys[key]; !ok {
			t.Errorf("no key %s", key)
		}
	}
	class := keys["classes"].(map[string]any)["c"].(map[string]any)
	for _, key := range []string{"p50_ms", "p99_ms", "p999_ms"} {
		if _, ok := class[key]; !ok {
			t.Errorf("no key classes.NAME.%s", key)
		}
	}
}

// TestBadInput checks that invalid input gives one error line and status 2 before anything is started.
func TestBadInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.toml")
	if err := os.WriteFile(file, []byte("name = \"d\"\nbase = \"calm\"\nsped = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, says string }{
		{"run " + file, "day.toml:3: sped: unknown key"},
		{"run nowhere.toml", "no such file"},
		{"run calm --set site[0].nodes=-1", "site[0].nodes: -1 is under 0"},
		{"run calm --policy random --set site[0].routers=9000", "site: "},
		{"run calm --policy clever", "no policy \"clever\""},
		{"run calm --router /nowhere/cedarmast", "no such file"},
		{"run calm --seed x", "seed"},
		{"show nowhere", "no scenario \"nowhere\""},
		{"compare calm --router random", "twice"},
		{"compare calm --router random --router least-of-two --seeds 0", "--seeds"},
		{"dance", "dance"},
	} {
		var out, errs bytes.Buffer
		status := Main(strings.Fields(c.args), &out, &errs)
		lines := strings.Split(strings.TrimSpace(errs.String()), "\n")
		if last := lines[len(lines)-1]; status != exitBadInput || !strings.Contains(last, c.says) {
			t.Errorf("%s: status %d, %q", c.args, status, errs.String())
		}
	}
}

// TestInterruptLeavesNothing checks that no router process survives a run that a signal ends, even if the router hangs.
func TestInterruptLeavesNothing(t *testing.T) {
	pidFile := filepath.Join(t.TempDir(), "pid")
	hang := filepath.Join(t.TempDir(), "hang.sh")
	if err := os.WriteFile(hang, []byte("#!/bin/sh\nexec "+os.Args[0]+" hang\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		os.Remove(pidFile)
		cmd := exec.Command(os.Args[0], "run", "calm", "--router", hang, "--set", "site[1].routers=0", "--set", "site[2].routers=0")
		cmd.Env = append(os.Environ(), "HANG_PID="+pidFile)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		pid := 0
		eventually(t, "the router has been started", func() bool {
			text, err := os.ReadFile(pidFile)
			if err == nil {
				fmt.Sscan(string(text), &pid)
			}
			return pid > 0
		})
		cmd.Process.Signal(sig)
		err := cmd.Wait()
		if sig != syscall.SIGKILL && cmd.ProcessState.ExitCode() != exitFailed {
			t.Errorf("%v: %v", sig, err)
		}
		eventually(t, fmt.Sprintf("after %v its router is gone", sig), func() bool { return syscall.Kill(pid, 0) != nil })
	}
}

// eventually fails the test unless the condition holds within 20 seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestDifferences(t *testing.T) {
	var pairs []Pair
	for _, p := range [][2]float64{{0.9, 0.8}, {0.8, 0.75}, {0.7, 0.55}} {
		pairs = append(pairs, Pair{A: &ledger.Report{Score: p[0]}, B: &ledger.Report{Score: p[1]}})
	}
	d := differences(pairs)[0]
	if d.Measure != "score" || fmt.Sprintf("%.3f %.3f %.3f %.3f %.3f %.3f %d", d.A, d.B, d.Mean, d.Spread, d.Half, d.Most, d.Positive) != "0.800 0.700 0.100 0.050 0.124 0.150 3" {
		t.Errorf("%+v", d)
	}
}
