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
	word := exchange.NewMaintenance()
	word.Out[balance.ServerID("c")] = true
	return State{Saved: time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC), Router: "n0", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:85", Known: known,
		Maintenance: word, Answered: 12.5}
}

// What is stored is read as it was written, and anything else is refused by its reason: a router that takes up half a list, or
// another form's, is wrong without knowing it.
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
		t.Error("read and written it is another one")
	}
	for n := range text {
		if _, err := Decode(text[:n]); !errors.Is(err, ErrTorn) {
			t.Fatalf("cut at %d of %d: %v", n, len(text), err)
		}
		flipped := bytes.Clone(text)
		flipped[n] ^= 0x20
		if _, err := Decode(flipped); err == nil && !bytes.EqualFold(flipped[:bytes.IndexByte(flipped, '\n')], text[:bytes.IndexByte(text, '\n')]) {
			t.Fatalf("a bit flipped at %d is not seen", n)
		}
	}
	for what, want := range map[string]error{
		strings.Replace(string(text), `"version":1`, `"version":2`, 1): ErrVersion,
		string(text) + "x": ErrForm,
		"{}\n{}":           ErrForm,
		"\n":               ErrForm,
		"":                 ErrTorn,
	} {
		if _, err := Decode([]byte(what)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v, not %v", what, err, want)
		}
	}
}

// Each belief is taken up by its own bound; orders and drains hold whatever their age.
func TestTake(t *testing.T) {
	s := sampleState(t)
	known := *s.Known
	known.Index, known.Endpoints = 6, append(known.Endpoints[:0:0], known.Endpoints...)
	known.Endpoints[1].Status = "SERVING" // what the configuration lists of one that drains
	want := func(change func(*Want)) Want {
		w := Want{Now: s.Saved.Add(time.Minute), Router: "n0", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:85", Known: &known, ListFor: time.Hour, CountFor: 2 * time.Minute}
		if change != nil {
			change(&w)
		}
		return w
	}
	for name, c := range map[string]struct {
		change   func(*Want)
		stored   bool
		answered float64
		status   string // of b, which drained as the state was stored
	}{
		"fresh":                   {nil, true, 12.5, "DRAINING"},
		"count too old":           {func(w *Want) { w.CountFor = time.Second }, true, 0, "DRAINING"},
		"list too old":            {func(w *Want) { w.ListFor = time.Second }, false, 12.5, "DRAINING"},
		"another discovery":       {func(w *Want) { w.Discovery = "127.0.0.1:86" }, false, 12.5, "DRAINING"},
		"a newer configuration":   {func(w *Want) { known := known; known.Index = 8; w.Known = &known }, false, 12.5, "SERVING"},
		"a clock a moment behind": {func(w *Want) { w.Now = s.Saved.Add(-time.Second) }, true, 12.5, "DRAINING"},
	} {
		got, err := Take(s, want(c.change))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got.Stored != c.stored || got.Answered != c.answered || got.Known.Endpoints[1].Status != c.status || !got.Maintenance.Out["c"] {
			t.Errorf("%s: stored list %v, answered %v, b is %s, out %v", name, got.Stored, got.Answered, got.Known.Endpoints[1].Status, got.Maintenance.Out)
		}
	}
	if known.Endpoints[1].Status != "SERVING" {
		t.Error("the configuration's list was written over")
	}
	for name, c := range map[string]struct {
		change func(*Want)
		want   error
	}{
		"another router":    {func(w *Want) { w.Router = "n1" }, ErrRouter},
		"another address":   {func(w *Want) { w.Listen = "127.0.0.1:81" }, ErrRouter},
		"a clock gone back": {func(w *Want) { w.Now = s.Saved.Add(-time.Hour) }, ErrClock},
	} {
		if got, err := Take(s, want(c.change)); !errors.Is(err, c.want) || len(got.Maintenance.Out) > 0 {
			t.Errorf("%s: %v, out %v", name, err, got.Maintenance.Out)
		}
	}
}

// explore walks every order of events and spans up to a depth, and returns what a machine did against the invariants: it never goes back,
// serves only with a list, is full only after it served by discovery's word or for long, and has a way out by time alone.
func explore(m Machine, handle func(*Machine, time.Duration, Event) Phase, now time.Duration, depth int) string {
	was := m.phase
	if m.phase != Nothing && !m.listReceived && !m.Known {
		return "serves without a list"
	}
	if m.phase != Nothing && m.Behind && m.servingSince < catchUpTimeout {
		return "serves while others may know of orders"
	}
	if m.phase == Full && !m.listReceived && now-m.servingSince < noDiscoveryPeriod {
		return "full by nobody's word"
	}
	if m.phase != Full && (m.phase != Nothing || m.Known || m.listReceived) { // without a list only discovery can tell it one
		alone, at := m, now
		for range 3 {
			wait, ok := alone.Wait(at)
			if !ok {
				break
			}
			at += wait
			handle(&alone, at, Tick)
		}
		if alone.phase != Full {
			return "no way out of " + m.phase.String() + " by time alone"
		}
	}
	if depth == 0 {
		return ""
	}
	for _, e := range []Event{Tick, Told, Answered, Failed, Caught} {
		for _, d := range []time.Duration{0, listTimeout, settlePeriod - 1, noDiscoveryPeriod} {
			next := m
			if p := handle(&next, now+d, e); p < was {
				return "went back from " + was.String()
			}
			if fault := explore(next, handle, now+d, depth-1); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// The state machine explored whole to five events, and three faults that the search has to find: one that counts a router as back that has
// heard of nobody, one that waits for discovery for ever, and one that serves while others may know of orders.
func TestMachineInvariants(t *testing.T) {
	right := (*Machine).Handle
	for _, known := range []bool{false, true} {
		for _, behind := range []bool{false, true} {
			if fault := explore(Machine{Known: known, Behind: behind}, right, 0, 5); fault != "" {
				t.Errorf("known %v, behind %v: %s", known, behind, fault)
			}
		}
	}
	for what, wrong := range map[string]func(*Machine, time.Duration, Event) Phase{
		"full by answers alone": func(m *Machine, now time.Duration, e Event) Phase {
			if m.Handle(now, e); m.phase == Some && m.consecutiveAnswers > 0 {
				m.phase = Full
			}
			return m.phase
		},
		"does not wait for facts": func(m *Machine, now time.Duration, e Event) Phase {
			if e == Told && m.phase == Nothing {
				m.listReceived, m.phase, m.servingSince = true, Some, now
				return m.phase
			}
			return m.Handle(now, e)
		},
		"waits for ever": func(m *Machine, now time.Duration, e Event) Phase {
			if !m.listReceived && e != Told {
				return m.phase
			}
			return m.Handle(now, e)
		},
	} {
		if explore(Machine{Known: true, Behind: true}, wrong, 0, 4) == "" {
			t.Errorf("%s: the search finds nothing", what)
		}
	}
}

// A disk that fails changes nothing that was kept, and the last two are kept: one that can't be read leaves the one before.
func TestStoreKeepsTwo(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "127.0.0.1:80")
	one := sampleState(t)
	for n := range 3 {
		one.Answered, one.Saved = float64(n), one.Saved.Add(time.Second)
		if err := s.Save(one); err != nil {
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
	if got, ok, faults := after.Load(); !ok || got.Answered != 1 || len(faults) != 1 || !errors.Is(faults[0], ErrTorn) {
		t.Errorf("after a torn one: %v %v %v", got.Answered, ok, faults)
	}
	if err := after.Save(one); err != nil {
		t.Fatal(err)
	}
	if _, _, faults := NewStore(dir, "127.0.0.1:80").Load(); len(faults) > 0 {
		t.Errorf("the torn one is written over first: %v", faults)
	}
	if err := os.Mkdir(filepath.Join(dir, fmt.Sprintf("state-127.0.0.1_80.%d.part", os.Getpid())), 0o700); err != nil { // as a disk that takes no file
		t.Fatal(err)
	}
	if err := after.Save(one); err == nil {
		t.Error("a save that could not be written says that it was")
	}
	if _, ok, faults := NewStore(dir, "127.0.0.1:80").Load(); !ok || len(faults) > 0 {
		t.Errorf("after a failed save: %v %v", ok, faults)
	}
}

// TestKilledWhileItWrites kills a real process that saves without pause, two hundred times at any instant: what it leaves loads each time,
// and never goes back.
func TestKilledWhileItWrites(t *testing.T) {
	if dir := os.Getenv("CEDARMAST_TEST_SAVES"); dir != "" {
		s := NewStore(dir, "x")
		one, _, _ := s.Load()
		for {
			one.Answered++
			one.Saved = time.Now()
			if one.Maintenance.Out == nil {
				one.Maintenance = exchange.NewMaintenance()
			}
			for n := range 200 { // some kilobytes, that a write may be cut in the midst
				one.Maintenance.Out[balance.ServerID(strings.Repeat("s", n))] = true
			}
			if err := s.Save(one); err != nil {
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

// FuzzDecode: no text is taken that this program would not write again as it is, and none panics.
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
