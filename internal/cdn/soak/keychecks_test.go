package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The moments of a small day that is written by hand.
var dayStart = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return dayStart.Add(time.Duration(seconds * float64(time.Second)))
}

// kindNamed is a kind of request.
func kindNamed(name string) kind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	panic("no such kind")
}

// smallDay is a day on which all rules are kept: r1 has the key of anna and one of berta, r2, acknowledged at 2 s, lacks the latter and moves
// that of anna to carla; `revoke` is a second.
func smallDay() *evidence {
	r1 := &version{edition: 1, keys: keyTable{"a": "anna", "b": "berta", "s": "anna"}, sent: after(0), answered: after(0.1), verdict: acknowledged, text: []byte("one")}
	r2 := &version{edition: 2, on: r1, keys: keyTable{"a": "carla", "s": "anna", "n": "berta"}, sent: after(1.9), answered: after(2), verdict: acknowledged, text: []byte("two")}
	loser := &version{edition: 3, on: r1, keys: keyTable{"a": "anna", "b": "berta", "s": "anna", "x": "anna"}, sent: after(1.9), answered: after(2), verdict: refused, text: []byte("three")}
	broken := &version{edition: 4, on: r2, keys: keyTable{"s": "anna", "y": "anna"}, sent: after(2.1), answered: after(2.2), verdict: refused, fault: sharedKey, text: []byte("four")}
	e := &evidence{book: newBook(), asks: map[string]*ask{}, versions: []*version{r1, r2, loser, broken}, revoke: time.Second, contact: time.Second,
		stores: []string{"store-1"}, core: []string{"core-1"}, start: dayStart}
	e.readings = []reading{{after(1), 1, []byte("one")}, {after(3), 2, []byte("two")}}
	e.play("early", "again", "b", 1.5, "berta")
	e.play("within revoke", "again", "b", 2.9, "berta")
	e.play("moved, old name", "again", "a", 1.5, "anna")
	e.play("moved", "again", "a", 3, "carla")
	e.play("open", "open", "", 3, "")
	return e
}

// play adds a request that was sent at some second to an edge and run at once, and returns both.
func (e *evidence) play(id, kind, key string, second float64, sender string) (*ask, *run) {
	a := &ask{id: id, path: "/" + kind + "/" + id, edge: "edge-1", kind: kindNamed(kind), key: key, kept: true, status: http.StatusOK, begun: after(second), end: after(second + 0.1)}
	r := &run{id: id, path: a.path, server: "i-1", sender: sender, begun: after(second + 0.01), end: after(second + 0.05), outcome: answered}
	e.book.asks, e.book.runs, e.asks[id] = append(e.book.asks, a), append(e.book.runs, r), a
	return a, r
}

// Each rule is convicted by what breaks it, and by nothing else.
func TestKeyChecks(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(e *evidence)
		rule  string // empty: all are kept
	}{
		"kept":                          {func(*evidence) {}, ""},
		"no tenant is named":            {func(e *evidence) { e.play("w", "again", "s", 1, "") }, unasked},
		"another tenant is named":       {func(e *evidence) { e.play("w", "again", "s", 1, "berta") }, unasked},
		"a tenant too early":            {func(e *evidence) { e.play("w", "again", "a", 1, "carla") }, unasked},
		"the client's own word":         {func(e *evidence) { e.play("w", "open", "", 1, forgedSender) }, unasked},
		"an open route with a key":      {func(e *evidence) { e.play("w", "open", "s", 1, "anna") }, ""},
		"the key is shown":              {func(e *evidence) { _, r := e.play("w", "again", "s", 1, "anna"); r.showsKey = true }, unasked},
		"an id of nobody":               {func(e *evidence) { _, r := e.play("w", "again", "s", 1, "anna"); r.id = "nobody" }, unasked},
		"an object for nobody":          {func(e *evidence) { _, r := e.play("w", "copied", "s", 1, ""); r.id = "" }, ""},
		"an object for its last client": {func(e *evidence) { _, r := e.play("w", "copied", "s", 1, "anna"); r.id = "" }, ""},
		"an object for another client":  {func(e *evidence) { _, r := e.play("w", "copied", "s", 1, "berta"); r.id = "" }, unasked},
		"an object before its client":   {func(e *evidence) { _, r := e.play("w", "copied", "s", 1, "anna"); r.id, r.begun = "", after(0.9) }, unasked},
		"another path":                  {func(e *evidence) { _, r := e.play("w", "again", "s", 1, "anna"); r.path = "/again/other" }, unasked},
		"no key":                        {func(e *evidence) { e.play("w", "again", "", 1, "anna") }, route},
		"a key of nobody":               {func(e *evidence) { e.play("w", "again", "z", 1, "anna") }, route},
		"a key before its time":         {func(e *evidence) { e.play("w", "again", "n", 1, "berta") }, route},
		"a key of a refused version":    {func(e *evidence) { e.play("w", "again", "x", 3, "anna") }, config},
		"a key of an invalid version":   {func(e *evidence) { e.play("w", "again", "y", 3, "anna") }, config},
		"a removed key":                 {func(e *evidence) { e.play("w", "again", "b", 3.1, "berta") }, revoked},
		"a removed key on its old run":  {func(e *evidence) { _, r := e.play("w", "again", "b", 2.8, "berta"); r.begun = after(5) }, ""},
		"an invalid version is taken":   {func(e *evidence) { e.versions[3].verdict = acknowledged }, config},
		"two on one base":               {func(e *evidence) { e.versions[2].verdict = acknowledged; e.versions[2].keys = e.versions[1].keys }, config},
		"on top of a refused one":       {func(e *evidence) { e.versions[1].on = e.versions[2] }, config},
		"an old one is read back":       {func(e *evidence) { e.readings = append(e.readings, reading{after(2.1), 1, []byte("one")}) }, config},
		"asked before the answer":       {func(e *evidence) { e.readings = append(e.readings, reading{after(1.95), 1, []byte("one")}) }, ""},
		"another text is read back":     {func(e *evidence) { e.readings = append(e.readings, reading{after(3), 2, []byte("2")}) }, config},
		"a refused one is read back":    {func(e *evidence) { e.readings = append(e.readings, reading{after(3), 3, []byte("three")}) }, config},
		"an invalid one is read back":   {func(e *evidence) { e.readings = append(e.readings, reading{after(3), 4, []byte("four")}) }, config},
		"none that was sent":            {func(e *evidence) { e.readings = append(e.readings, reading{after(3), 9, []byte("nine")}) }, config},
		"a steady key is denied":        {func(e *evidence) { a, _ := e.play("w", "again", "s", 1, "anna"); a.status = http.StatusUnauthorized }, denied},
		"an open route is denied":       {func(e *evidence) { a, _ := e.play("w", "open", "", 1, ""); a.status = http.StatusNotFound }, denied},
		"a removed key is denied":       {func(e *evidence) { a, _ := e.play("w", "again", "b", 2.5, "berta"); a.status = http.StatusUnauthorized }, ""},
		"no answer to a steady key": {func(e *evidence) {
			a, _ := e.play("w", "again", "s", 1, "anna")
			a.status = http.StatusServiceUnavailable
		}, ""},
		"a new key is not known":        {func(e *evidence) { a, _ := e.play("w", "again", "n", 4.1, "berta"); a.status = http.StatusUnauthorized }, config},
		"a new key is not known yet":    {func(e *evidence) { a, _ := e.play("w", "again", "n", 3.9, "berta"); a.status = http.StatusUnauthorized }, ""},
		"a new key out of touch":        {func(e *evidence) { e.denyNewKey("core-1", pause) }, ""},
		"closed without an answer":      {func(e *evidence) { e.cut("again", 0.1) }, lost},
		"closed as its time ends":       {func(e *evidence) { e.cut("again", 2.8) }, ""},
		"closed before it ran":          {func(e *evidence) { e.cut("again", 0.1); e.book.runs = e.book.runs[:len(e.book.runs)-1] }, ""},
		"closed by its server":          {func(e *evidence) { e.cut("again", 0.1).outcome = brokenOff }, ""},
		"closed at a planned end":       {func(e *evidence) { e.cut("again", 0.1); e.trouble("edge-1", restart) }, lost},
		"closed at a change of file":    {func(e *evidence) { e.cut("again", 0.1); e.trouble("edge-1", reload) }, lost},
		"closed by a kill":              {func(e *evidence) { e.cut("again", 0.1); e.trouble("edge-1", kill) }, ""},
		"closed beside a kill":          {func(e *evidence) { e.cut("again", 0.1); e.trouble("store-1", kill) }, lost},
		"an object's, by a kill behind": {func(e *evidence) { e.cut("gathered", 0.1); e.trouble("store-1", kill) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := smallDay()
			c.spoil(e)
			found := e.judge()
			if c.rule == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Assert(t, len(found[c.rule]) > 0, "%v", found)
		})
	}
}

// cut adds a request on a kept connection that closes a while after it was sent, and returns its run.
func (e *evidence) cut(kind string, seconds float64) *run {
	a, r := e.play("w", kind, "s", 5, "anna")
	a.status, a.cut, a.end = 0, true, after(5+seconds)
	return r
}

// trouble adds one of a machine just before second 5.
func (e *evidence) trouble(machine, what string) {
	e.book.troubles[machine] = append(e.book.troubles[machine], span{what, after(4.9), after(5.05)})
}

// denyNewKey adds a refusal of a key that is not new any more, beside a trouble of some machine.
func (e *evidence) denyNewKey(machine, what string) {
	a, _ := e.play("w", "again", "n", 5, "berta")
	a.status = http.StatusUnauthorized
	e.trouble(machine, what)
}

// The first breaches of each rule are told, and how many there were.
func TestFindingsAreTold(t *testing.T) {
	f := findings{}
	for range 10 {
		f.add(unasked, "something")
	}
	f.add(config, "else")
	told := f.told()
	assert.Equal(t, len(told), 2+1+mostToldOfRule)
	assert.Equal(t, told[0], "CONFIG: 1 breaches")
	assert.Assert(t, strings.HasPrefix(told[2], "UNASKED: 10"))
}

// Keys that were taken away never come back, those of all days stay where they are, and each change takes, adds and moves as many as it is to.
func TestKeysOfChanges(t *testing.T) {
	source, rng := newKeySource(7), rand.New(rand.NewPCG(7, 0))
	table, ever := source.first(), map[string]bool{}
	for range 50 {
		next := source.change(table, rng)
		moved, taken, added := 0, 0, 0
		for key, tenant := range table {
			ever[key] = true
			switch next[key] {
			case tenant:
			case "":
				taken++
				assert.Assert(t, !source.steady[key])
			default:
				moved++
			}
		}
		for key := range next {
			if table[key] == "" {
				added++
				assert.Assert(t, !ever[key], "%s is back", key)
			}
		}
		assert.Equal(t, moved, keysMoved)
		assert.Equal(t, taken, keysTaken)
		assert.Equal(t, added, keysAdded)
		table = next
	}
}

// A network that this machine can't carry is refused before a process starts.
func TestNetworksThatDoNotFit(t *testing.T) {
	small := Plan{}.Shape
	small.Core, small.Edges = 3, 3
	assert.NilError(t, fits(small))
	for _, change := range []func(){func() { small.Edges = 0 }, func() { small.Edges = mostMachines }, func() { small.Edges, small.Core = 3, 0 }} {
		change()
		assert.ErrorContains(t, fits(small), "a network has")
	}
}
