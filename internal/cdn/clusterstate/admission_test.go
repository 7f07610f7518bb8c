package clusterstate

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cedarmast/internal/cdn/randomconfig"

	"gotest.tools/v3/assert"
)

// Texts that two parsers read differently, or that are no JSON text, don't enter the log: neither by a registry nor by a leader.
func TestAmbiguousTextsAreRefused(t *testing.T) {
	usual := string(manifest(`"r2"`, `"r1"`, routeParcel("a", routeFields), serviceParcel))
	cases := []struct{ name, text string }{
		{"a line break in a number", strings.Replace(usual, "130", "13\n0", 1)},
		{"a space in a number", strings.Replace(usual, "380.0", "380 .0", 1)},
		{"a space in a literal", strings.Replace(usual, `"tries":2`, `"tries":2,"unsealed":tr ue`, 1)},
		{"a name that ends like the list of parcels", strings.Replace(usual, `"parcels":[`, `"x\"parcels":[`, 1)},
		{"two lists of parcels", strings.Replace(usual, `"parcels":[`, `"parcels":[{"label":{"name":"b"}}],"parcels":[`, 1)},
		{"two lists of parcels, in other case", strings.Replace(usual, `"parcels":[`, `"Parcels":[{"label":{"name":"b"}}],"parcels":[`, 1)},
		{"two editions", strings.Replace(usual, `"edition":"r2"`, `"edition":"r3","edition":"r2"`, 1)},
		{"a name that is not UTF-8", strings.Replace(usual, `"name":"a"`, "\"name\":\"a\xff\"", 1)},
		{"nested too deeply for the whole, not for the parcel", strings.Replace(usual, `"tries":2`,
			`"tries":2,"x":`+strings.Repeat("[", 9997)+strings.Repeat("]", 9997), 1)},
		{"cut short", usual[:len(usual)-4]}, {"empty", ""}, {"a list", "[]"}, {"null", "null"}, {"two documents", usual + usual},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory(New())
			_, out, _ := h.Apply(1, Command{Put: manifest(`"r1"`, `0`, serviceParcel)}.Encode())
			assert.Equal(t, out.Status, StatusOK, out.Text)
			assert.ErrorContains(t, CheckText([]byte(c.text)), "not readable whole")
			_, err := h.ConfigCommand([]byte(c.text))
			assert.ErrorContains(t, err, "not readable whole")
			if len(c.text) > 0 {
				assert.ErrorContains(t, h.CheckProposal(Command{Put: []byte(c.text)}, 0), "not readable whole")
			}
		})
	}
	for _, text := range []string{usual, strings.ReplaceAll(usual, ",", " ,\n\t"), strings.Replace(usual, `]}`, `],"note":1}`, 1),
		`{"edition":"r2","based_on":"r1","note":` + usual + `}`} {
		assert.NilError(t, CheckText([]byte(text)))
	}
}

// A leader refuses a delta whose result is an ambiguous text, or that does not apply to its base. It leaves one on another base to the log.
func TestProposedDeltas(t *testing.T) {
	h := NewHistory(New())
	first := manyRoutes(20, `"r1"`, `0`, nil)
	h.Apply(1, Command{Put: first}.Encode())
	second := manyRoutes(20, `"r2"`, `"r1"`, nil)
	broken := bytes.Replace(second, []byte(`"tries":2`), []byte("\"tries\":2\n0"), 1)
	good := Diff(1, 2, first, second, Digest(second))
	assert.NilError(t, h.CheckProposal(Command{Change: good}, 0))
	assert.ErrorContains(t, h.CheckProposal(Command{Change: Diff(1, 2, first, broken, Digest(broken))}, 0), "not readable whole")
	past := &Delta{Base: 1, Version: 2, Sum: good.Sum, Pieces: []Piece{{From: len(first), Len: 1}}}
	assert.ErrorContains(t, h.CheckProposal(Command{Change: past}, 0), "past its base")
	past.Base = 7
	assert.NilError(t, h.CheckProposal(Command{Change: past}, 0))
	assert.NilError(t, h.CheckProposal(Command{Leave: "i-1"}, 0))
}

// readings returns what the programs make of a text: a strict parser, a process that starts, and one that has followed the changes.
func readings(t testing.TB, followed *reader, text []byte) (strict, started *Manifest, strictErr, startErr error) {
	strict, strictErr = ParseManifest(text)
	started, startErr = ReadManifest(text)
	following, _, followErr := followed.read(text)
	assert.Equal(t, startErr == nil, followErr == nil, "%q: %v, %v", text, startErr, followErr)
	if startErr == nil {
		assert.DeepEqual(t, started, following)
	}
	return strict, started, strictErr, startErr
}

// checkAdmitted checks that all programs read an admitted text alike, also after it has passed through the log and a snapshot. It returns
// whether the text was admitted, and whether the reader alone would have accepted it.
func checkAdmitted(t testing.TB, h *History, followed *reader, text []byte) (admitted, lenient bool) {
	command, err := h.ConfigCommand(text)
	strict, started, strictErr, startErr := readings(t, followed, text)
	if err != nil {
		return false, startErr == nil
	}
	assert.NilError(t, strictErr, "%q", text)
	assert.DeepEqual(t, strict, started)
	decoded, err := Decode(command.Encode())
	assert.NilError(t, err)
	assert.NilError(t, h.CheckProposal(decoded, 0))
	after := h.State.Clone()
	if after.Apply(after.Index+1, decoded).Status != StatusOK {
		return true, true
	}
	var snapshot bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&snapshot).Encode(after))
	restarted := New()
	assert.NilError(t, gob.NewDecoder(&snapshot).Decode(restarted))
	assert.Assert(t, bytes.Equal(restarted.Body, text))
	again, err := ReadManifest(restarted.Body)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, strict)
	return true, true
}

// drawText draws a configuration of a few routes, with fields and bytes changed at random.
func drawText(rng *rand.Rand, version, base int) []byte {
	var parcels []string
	for i := range 1 + rng.IntN(4) {
		r := randomconfig.Route{Name: fmt.Sprint("r-", i), Host: "a.example", Prefix: fmt.Sprintf("/p%d/", i), Kind: "shelved", Timeout: "2s",
			Target: "1s", Shelf: "20s", Split: []randomconfig.Share{{Service: "shop", Weight: 1}}}
		r.ChangeField(rng, []string{"shop", "desk"})
		parcels = append(parcels, r.Parcel())
	}
	parcels = append(parcels, serviceParcel, strings.Replace(serviceParcel, "shop", "desk", 1), senderParcel("wax", "k-1"))
	text := randomconfig.Document(version, base, parcels...)
	if rng.IntN(4) > 0 {
		text = randomconfig.ChangeBytes(rng, text)
	}
	return text
}

// With bytes and fields changed at random, every text that is admitted is read alike by all programs and after a restart. The reader alone
// accepts texts that a strict parser refuses: without CheckText the test fails.
func TestRandomTexts(t *testing.T) {
	admitted, lenientOnly := 0, 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 83))
		h, followed := NewHistory(New()), new(reader)
		h.Apply(1, Command{Put: drawFirst(rng)}.Encode())
		text := drawText(rng, 2, 1)
		ok, lenient := checkAdmitted(t, h, followed, text)
		switch {
		case ok:
			admitted++
		case lenient:
			lenientOnly++
			assert.Assert(t, CheckText(text) != nil, "seed %d: %q", seed, text)
		}
	}
	t.Logf("%d admitted, %d refused that the reader accepts", admitted, lenientOnly)
	assert.Assert(t, admitted > 500 && lenientOnly > 20, "%d admitted, %d accepted by the reader alone", admitted, lenientOnly)
}

// drawFirst draws a first configuration without changed bytes.
func drawFirst(rng *rand.Rand) []byte {
	for {
		if text := drawText(rng, 1, 0); CheckText(text) == nil {
			if _, err := ParseManifest(text); err == nil {
				return text
			}
		}
	}
}

func FuzzConfigurationTexts(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 83))
	for range 20 {
		f.Add(drawText(rng, 2, 1))
	}
	f.Add(manifest(`"r2"`, `"r1"`, strings.Replace(serviceParcel, "130", "13\n0", 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		h := NewHistory(New())
		h.Apply(1, Command{Put: manifest(`"r1"`, `0`, serviceParcel)}.Encode())
		checkAdmitted(t, h, new(reader), text)
	})
}

// A log of an earlier version of the programs may hold an ambiguous text that was acknowledged, with deltas on top. It gives the same state
// to a replica that replays all of it, to one that starts from a snapshot of any index, and to one that follows the changes; processes that
// start read the configuration in force.
func TestLogWithAmbiguousTexts(t *testing.T) {
	broken := func(text []byte) []byte {
		return bytes.Replace(text, []byte(`"tries":2`), []byte("\"tries\":\n2 1"), 1)
	}
	bodies := [][]byte{manyRoutes(20, `"r1"`, `0`, nil), broken(manyRoutes(20, `"r2"`, `"r1"`, nil)), broken(manyRoutes(21, `"r3"`, `"r2"`, nil)),
		manyRoutes(21, `"r4"`, `"r3"`, nil)}
	log := [][]byte{Command{Put: bodies[0]}.Encode(), Command{Put: bodies[1]}.Encode()}
	for i, body := range bodies[2:] { // as the earlier version encoded it
		d := Diff(Version(i+2), Version(i+3), bodies[i+1], body, Digest(body))
		assert.Assert(t, d != nil)
		log = append(log, Command{Change: d}.Encode())
	}
	replica, follower := NewHistory(New()), NewHistory(New())
	for i, entry := range log {
		index := uint64(i + 1)
		_, out, err := replica.Apply(index, entry)
		assert.NilError(t, err)
		assert.Equal(t, out.Status, StatusOK, out.Text)
		assert.Assert(t, bytes.Equal(replica.State.Body, bodies[i]))
		started, err := ReadManifest(replica.State.Body)
		assert.NilError(t, err)
		assert.DeepEqual(t, started, out.installed)
		wantTries := 2
		if i == 1 || i == 2 {
			wantTries = 21
			_, err = ParseManifest(replica.State.Body)
			assert.ErrorContains(t, err, "not readable whole")
			_, err = replica.ConfigCommand(replica.State.Body) // a repeat of what is in force is not refused
			assert.NilError(t, err)
		}
		assert.Equal(t, started.Routes[0].Tries, wantTries)
		news := replica.Since(follower.State.Index)
		if news.State != nil {
			follower = NewHistory(news.State)
		}
		for _, change := range news.Changes {
			_, _, err := follower.Apply(change.Index, change.Data)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, follower.State, replica.State)
		fromSnapshot := NewHistory(replicaAt(t, log, i))
		for later, entry := range log[i+1:] {
			_, out, err := fromSnapshot.Apply(index+uint64(later)+1, entry)
			assert.NilError(t, err)
			assert.Equal(t, out.Status, StatusOK, out.Text)
		}
		assert.Assert(t, bytes.Equal(fromSnapshot.State.Body, bodies[len(bodies)-1]))
	}
}

// replicaAt returns the state after a log entry, having passed through a snapshot.
func replicaAt(t *testing.T, log [][]byte, last int) *State {
	t.Helper()
	s := New()
	for i, entry := range log[:last+1] {
		c, err := Decode(entry)
		assert.NilError(t, err)
		s.Apply(uint64(i+1), c)
	}
	var snapshot bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&snapshot).Encode(s))
	restarted := New()
	assert.NilError(t, gob.NewDecoder(&snapshot).Decode(restarted))
	text, err := json.Marshal(restarted)
	assert.NilError(t, err)
	want, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.Equal(t, string(text), string(want))
	return restarted
}

// Commands that would add more to the state than it may hold are refused, whoever proposes them; what is in the state already is not.
func TestCommandsAreBounded(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	server := Server{ID: "i-1", Service: "shop", Address: "10.0.0.1:80", State: ServerOpen}
	h := NewHistory(New())
	h.State.Servers["i-1"] = server
	change := func(edit func(*Server)) Command {
		s := server
		edit(&s)
		return Command{Server: &s}
	}
	var many []Router
	for i := range 2*maxRouters + 1 {
		many = append(many, Router{Node: fmt.Sprint("r-", i)})
	}
	cases := []struct {
		name    string
		command Command
		refused bool
	}{
		{"a heartbeat of a listed server", Command{Server: &server}, false},
		{"a server too many", change(func(s *Server) { s.ID = "i-2" }), true},
		{"a long zone", change(func(s *Server) { s.Zone = long }), true},
		{"a long edition", change(func(s *Server) { s.Edition = long }), true},
		{"a long carrier", change(func(s *Server) { s.Service = long }), true},
		{"a long name that leaves", Command{Leave: long}, true},
		{"a long name that is lost", Command{Lost: long}, true},
		{"a router", Command{Enrol: []Router{{Node: "r"}}}, false},
		{"a router without a name", Command{Enrol: []Router{{}}}, true},
		{"a router with a long address", Command{Enrol: []Router{{Node: "r", Address: long}}}, true},
		{"routers too many", Command{Enrol: many}, true},
		{"a purge", Command{Purge: &Purge{Tag: "a"}}, false},
	}
	for _, c := range cases {
		assert.Equal(t, h.CheckProposal(c.command, 1) != nil, c.refused, c.name)
	}
	assert.NilError(t, h.CheckProposal(change(func(s *Server) { s.ID = "i-2" }), 0))
}
