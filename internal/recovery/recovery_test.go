package recovery

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/wire"
)

func sampleState(t testing.TB) State {
	t.Helper()
	known, err := wire.ParseEndpoints([]byte(`{"index": 7, "snapshot": true, "endpoints": [
		{"name": "a", "address": "127.0.0.1:1", "status": "SERVING", "weight": 1}, {"name": "b", "address": "127.0.0.1:2", "status": "DRAINING", "weight": 1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	maintenance := exchange.NewMaintenance()
	maintenance.Out[balance.ServerID("c")] = true
	return State{Saved: time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC), Router: "n0", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:85", Known: known,
		Maintenance: maintenance, Answered: 12.5}
}

// A stored state is read back unchanged, and any other content is refused with its reason: a router that used a
// truncated list or another format would make wrong decisions unnoticed.
func TestDecodeIsStrict(t *testing.T) {
	text, err := Encode(sampleState(t))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil || !got.Maintenance.Out["c"] || got.Answered != 12.5 || len(got.Known.Endpoints) != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	again, _ := Encode(got)
	if !bytes.Equal(text, again) {
		t.Error("decoded and encoded again, the state differs")
	}
	for n := range text {
		if _, err := Decode(text[:n]); !errors.Is(err, ErrTruncated) {
			t.Fatalf("cut at %d of %d: %v", n, len(text), err)
		}
		flipped := bytes.Clone(text)
		flipped[n] ^= 0x20
		if _, err := Decode(flipped); err == nil && !bytes.EqualFold(flipped[:bytes.IndexByte(flipped, '\n')], text[:bytes.IndexByte(text, '\n')]) {
			t.Fatalf("a bit flip at %d is not detected", n)
		}
	}
	for what, want := range map[string]error{
		strings.Replace(string(text), `"version":1`, `"version":2`, 1): ErrVersion,
		string(text) + "x": ErrFormat,
		"{}\n{}":           ErrFormat,
		"\n":               ErrFormat,
		"":                 ErrTruncated,
	} {
		if _, err := Decode([]byte(what)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v, not %v", what, err, want)
		}
	}
}

// Each part of the state expires by its own limit; orders and drains are valid at any age.
func TestTake(t *testing.T) {
	s := sampleState(t)
	known := *s.Known
	known.Index, known.Endpoints = 6, append(known.Endpoints[:0:0], known.Endpoints...)
	known.Endpoints[1].Status = "SERVING" // the configuration still lists the draining server as serving
	wantWith := func(change func(*RestoreOptions)) RestoreOptions {
		w := RestoreOptions{Now: s.Saved.Add(time.Minute), Router: "n0", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:85",
			Known: &known, MaxListAge: time.Hour, MaxCountAge: 2 * time.Minute}
		if change != nil {
			change(&w)
		}
		return w
	}
	for name, c := range map[string]struct {
		change   func(*RestoreOptions)
		stored   bool
		answered float64
		status   string // of server b, which was draining when the state was stored
	}{
		"fresh":                   {nil, true, 12.5, "DRAINING"},
		"count too old":           {func(w *RestoreOptions) { w.MaxCountAge = time.Second }, true, 0, "DRAINING"},
		"list too old":            {func(w *RestoreOptions) { w.MaxListAge = time.Second }, false, 12.5, "DRAINING"},
		"another discovery":       {func(w *RestoreOptions) { w.Discovery = "127.0.0.1:86" }, false, 12.5, "DRAINING"},
		"a newer configuration":   {func(w *RestoreOptions) { known := known; known.Index = 8; w.Known = &known }, false, 12.5, "SERVING"},
		"a clock a moment behind": {func(w *RestoreOptions) { w.Now = s.Saved.Add(-time.Second) }, true, 12.5, "DRAINING"},
	} {
		got, err := Restore(s, wantWith(c.change))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got.ListRestored != c.stored || got.Answered != c.answered || got.Known.Endpoints[1].Status != c.status || !got.Maintenance.Out["c"] {
			t.Errorf("%s: stored list %v, answered %v, b is %s, out %v",
				name, got.ListRestored, got.Answered, got.Known.Endpoints[1].Status, got.Maintenance.Out)
		}
	}
	if known.Endpoints[1].Status != "SERVING" {
		t.Error("the configuration's list was modified")
	}
	for name, c := range map[string]struct {
		change   func(*RestoreOptions)
		wantWith error
	}{
		"another router":    {func(w *RestoreOptions) { w.Router = "n1" }, ErrRouter},
		"another address":   {func(w *RestoreOptions) { w.Listen = "127.0.0.1:81" }, ErrRouter},
		"a clock gone back": {func(w *RestoreOptions) { w.Now = s.Saved.Add(-time.Hour) }, ErrFuture},
	} {
		if got, err := Restore(s, wantWith(c.change)); !errors.Is(err, c.wantWith) || len(got.Maintenance.Out) > 0 {
			t.Errorf("%s: %v, out %v", name, err, got.Maintenance.Out)
		}
	}
}

// explore runs every sequence of events and time steps up to a depth and returns the first invariant that is violated:
// a machine never goes back, serves only with a list, is full only after serving from discovery's list or for a long
// time, and can always proceed by time alone.
func explore(m Machine, handle func(*Machine, time.Duration, Event) Phase, now time.Duration, depth int) string {
	phase := m.phase
	if m.phase != NotReady && !m.listReceived && !m.ListKnown {
		return "serves without a list"
	}
	if m.phase != NotReady && m.CatchUp && m.servingSince < catchUpTimeout {
		return "serves while others may know of orders"
	}
	if m.phase == FullService && !m.listReceived && now-m.servingSince < noDiscoveryPeriod {
		return "full without a list of discovery"
	}
	if m.phase != FullService && (m.phase != NotReady || m.ListKnown || m.listReceived) { // without a list only discovery can provide one
		timeOnly, at := m, now
		for range 3 {
			wait, ok := timeOnly.Wait(at)
			if !ok {
				break
			}
			at += wait
			handle(&timeOnly, at, Tick)
		}
		if timeOnly.phase != FullService {
			return "no way out of " + m.phase.String() + " by time alone"
		}
	}
	if depth == 0 {
		return ""
	}
	for _, e := range []Event{Tick, ListReceived, RequestServed, RequestFailed, CaughtUp} {
		for _, d := range []time.Duration{0, listTimeout, settlePeriod - 1, noDiscoveryPeriod} {
			next := m
			if p := handle(&next, now+d, e); p < phase {
				return "went back from " + phase.String()
			}
			if fault := explore(next, handle, now+d, depth-1); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// All sequences of five events keep the invariants, and the search finds three wrong machines: one that reaches full
// service without discovery, one that waits for discovery forever, and one that serves while others may know of
// orders.
func TestMachineInvariants(t *testing.T) {
	handle := (*Machine).Handle
	for _, known := range []bool{false, true} {
		for _, behind := range []bool{false, true} {
			if fault := explore(Machine{ListKnown: known, CatchUp: behind}, handle, 0, 5); fault != "" {
				t.Errorf("known %v, behind %v: %s", known, behind, fault)
			}
		}
	}
	for what, broken := range map[string]func(*Machine, time.Duration, Event) Phase{
		"full by answers alone": func(m *Machine, now time.Duration, e Event) Phase {
			if m.Handle(now, e); m.phase == Serving && m.consecutiveAnswers > 0 {
				m.phase = FullService
			}
			return m.phase
		},
		"does not wait for facts": func(m *Machine, now time.Duration, e Event) Phase {
			if e == ListReceived && m.phase == NotReady {
				m.listReceived, m.phase, m.servingSince = true, Serving, now
				return m.phase
			}
			return m.Handle(now, e)
		},
		"waits forever": func(m *Machine, now time.Duration, e Event) Phase {
			if !m.listReceived && e != ListReceived {
				return m.phase
			}
			return m.Handle(now, e)
		},
	} {
		if explore(Machine{ListKnown: true, CatchUp: true}, broken, 0, 4) == "" {
			t.Errorf("%s: the search finds no violation", what)
		}
	}
}

// A failed save leaves the stored states unchanged, and the last two are kept: if one is unreadable, the other is
// loaded.
func TestStoreKeepsTwo(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "127.0.0.1:80")
	state := sampleState(t)
	for n := range 3 {
		state.Answered, state.Saved = float64(n), state.Saved.Add(time.Second)
		if err := s.Save(state); err != nil {
			t.Fatal(err)
		}
	}
	if got, ok, faults := NewStore(dir, "127.0.0.1:80").Load(); !ok || got.Answered != 2 || len(faults) > 0 {
		t.Errorf("%v %v %v", got.Answered, ok, faults)
	}
	newest := filepath.Join(dir, "state-127.0.0.1_80.0")
	if err := os.Truncate(newest, 200); err != nil {
		t.Fatal(err)
	}
	after := NewStore(dir, "127.0.0.1:80")
	if got, ok, faults := after.Load(); !ok || got.Answered != 1 || len(faults) != 1 || !errors.Is(faults[0], ErrTruncated) {
		t.Errorf("after a truncated file: %v %v %v", got.Answered, ok, faults)
	}
	if err := after.Save(state); err != nil {
		t.Fatal(err)
	}
	if _, _, faults := NewStore(dir, "127.0.0.1:80").Load(); len(faults) > 0 {
		t.Errorf("the truncated file was not overwritten first: %v", faults)
	}
	if err := os.Mkdir(filepath.Join(dir, fmt.Sprintf("state-127.0.0.1_80.%d.part", os.Getpid())), 0o700); err != nil { // makes the save fail
		t.Fatal(err)
	}
	if err := after.Save(state); err == nil {
		t.Error("a failed save returned no error")
	}
	if _, ok, faults := NewStore(dir, "127.0.0.1:80").Load(); !ok || len(faults) > 0 {
		t.Errorf("after a failed save: %v %v", ok, faults)
	}
}

// TestKilledWhileItWrites kills a process that saves in a loop, 200 times at varying moments (20 in short mode): the
// state that it leaves always loads and never goes back.
func TestKilledWhileItWrites(t *testing.T) {
	if dir := os.Getenv("CEDARMAST_TEST_SAVES"); dir != "" {
		s := NewStore(dir, "x")
		state, _, _ := s.Load()
		for {
			state.Answered++
			state.Saved = time.Now()
			if state.Maintenance.Out == nil {
				state.Maintenance = exchange.NewMaintenance()
			}
			for n := range 200 { // some kilobytes, so that a kill can interrupt a write
				state.Maintenance.Out[balance.ServerID(strings.Repeat("s", n))] = true
			}
			if err := s.Save(state); err != nil {
				os.Exit(3)
			}
			os.Stdout.WriteString(".")
		}
	}
	dir, last := t.TempDir(), 0.0
	rounds := 200
	if testing.Short() {
		rounds = 20
	}
	for n := range rounds {
		cmd := exec.Command(os.Args[0], "-test.run=TestKilledWhileItWrites$")
		cmd.Env = append(os.Environ(), "CEDARMAST_TEST_SAVES="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		out.Read(make([]byte, 1)) // the first save is done
		time.Sleep(time.Duration(n*37%1000) * 10 * time.Microsecond)
		cmd.Process.Kill()
		cmd.Wait()
		got, ok, faults := NewStore(dir, "x").Load()
		if !ok || len(faults) > 0 || got.Answered <= last {
			t.Fatalf("kill %d: loads %v, %v after %v, faults %v", n, ok, got.Answered, last, faults)
		}
		last = got.Answered
	}
}

// FuzzDecode checks that Decode never panics and that an accepted state can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	text, err := Encode(sampleState(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)/2])
	f.Add([]byte("{\"magic\":\"cedarmast state\",\"version\":1,\"length\":2,\"crc32c\":0}\n{}"))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Encode(s)
		if err != nil {
			t.Fatalf("what was read can't be written: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("what was written can't be read: %v", err)
		}
	})
}
