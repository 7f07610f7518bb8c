package clusterstate

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Read by what has changed, a configuration says what it says when it is read whole, whatever its form: spaces anywhere, fields
// behind the parcels, a parcel's beginning inside a text, parcels that are broken, invalid or of no known kind.
func TestReaderReadsAsAWhole(t *testing.T) {
	usual := string(largeBody(7, 6, 9))
	forms := []string{
		usual,
		strings.ReplaceAll(usual, ",", " ,\n\t"),
		strings.Replace(usual, `"edition":"r7",`, "", 1),
		strings.Replace(usual, `]}`, `],"edition":"r9"}`, -1),
		strings.TrimSuffix(usual, "}") + `,"based_on":"r3"}`,
		strings.Replace(usual, "host3.example", `{\"parcel_kind\"x`, 1),
		strings.Replace(usual, "host3.example", `{"parcel_kind"`, 1),
		strings.Replace(usual, "1500ms", "0ms", 1),
		strings.Replace(usual, "1500ms", "soon", 1),
		strings.Replace(usual, `"parcel_kind":"routes"`, `"parcel_kind":"other"`, 1),
		strings.Replace(usual, `{"parcel_kind":"carriers"`, `{"parcel_kind":"allowances","label":{},"manifest":{"idle":"9s"}},{"parcel_kind":"carriers"`, 1),
		strings.Replace(usual, `"parcels":[`, `"parcels":[],"parcels":[`, 1),
		strings.Replace(usual, `"parcels":[`, `"parcels":[{"x":1},`, 1),
		strings.Replace(usual, "},{", "}{", 1), strings.Replace(usual, "},{", "},,{", 1), usual[:len(usual)-1], usual + "]", usual[:len(usual)/2], "", "{}", "[]",
		strings.Replace(usual, `]}`, `,`+sender("wax", "k-1", "k-2")+`,`+sender("ink", "k-3")+`]}`, -1),
		strings.Replace(usual, `{"parcel_kind":"carriers"`, sender("wax", "k-1")+`,`+sender("ink", "k-1")+`,{"parcel_kind":"carriers"`, 1),
		strings.Replace(usual, `"tries":2`, `"unsealed":true`, 1),
		strings.Replace(usual, "/p4/", "/p5/", 1) + " ", strings.Replace(usual, "huvo11a", "nobody", 1),
	}
	var r reader
	rng := rand.New(rand.NewPCG(3, 1))
	for range 4000 {
		text := []byte(forms[rng.IntN(len(forms))])
		if at := rng.IntN(4 * (len(text) + 1)); at < len(text) { // a byte that is another one, at times
			text[at] = `{}[],:" 0x`[rng.IntN(10)]
		}
		whole, wrong := ParseManifest(text)
		m, digest, err := r.read(text)
		assert.Equal(t, err == nil, wrong == nil, "%s\n%v, whole %v", text, err, wrong)
		if wrong == nil {
			assert.DeepEqual(t, m, whole)
		}
		assert.Equal(t, digest, Digest(text))
	}
	assert.Equal(t, Digest([]byte(forms[0])), Digest([]byte(forms[1])))
	assert.Assert(t, Digest([]byte(`{"a":"x y"}`)) != Digest([]byte(`{"a":"xy"}`)))
}

// What was taken so long ago that it is known no longer is neither acknowledged nor refused when it comes once more; what is
// known still is acknowledged, and what was never taken is refused.
func TestWhatWasTakenLongAgo(t *testing.T) {
	s := New()
	body := func(version, base int, zone string) []byte {
		return manifest(fmt.Sprintf(`"r%d"`, version), fmt.Sprintf(`"r%d"`, base), carrier, route(zone, fine))
	}
	const taken = mostTaken + 10
	for v := 1; v <= taken; v++ {
		assert.Equal(t, s.Apply(uint64(v), Command{Put: body(2*v, 2*v-2, "a")}).Status, Done)
	}
	cases := []struct {
		name          string
		version, base int
		zone          string
		want          int
	}{
		{"the newest once more", 2 * taken, 2*taken - 2, "a", Done},
		{"the oldest that is known", 2 * 11, 2 * 10, "a", Done},
		{"one that is known no longer", 2 * 10, 2 * 9, "a", Forgotten},
		{"the first", 2, 0, "a", Forgotten},
		{"another one under a known number", 2 * 11, 2 * 10, "b", Stale},
		{"one on an old base", 2*taken + 1, 2 * 11, "a", Stale},
	}
	for _, c := range cases {
		for _, form := range []Command{{Put: body(c.version, c.base, c.zone)},
			{Change: Diff(Version(c.base), Version(c.version), s.Body, body(c.version, c.base, c.zone), Digest(body(c.version, c.base, c.zone)))}} {
			if form.Configures() {
				assert.Equal(t, s.Apply(9999, form).Status, c.want, c.name)
				assert.Equal(t, s.Version, Version(2*taken))
			}
		}
	}
}

// Orders and servers' calls come in any number, order and mixture: whatever was closing is never open again, whoever left
// stays out, and a configuration takes effect once.
func TestCommandsComeTwice(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s, said := New(), []Command{}
		closing, left := map[string]bool{}, map[string]bool{}
		beat := uint64(0)
		for step := range 120 {
			id := fmt.Sprint("i-", rng.IntN(4))
			c := Command{}
			switch beat++; rng.IntN(6) {
			case 0:
				c.Server = &Server{ID: id, State: Open, Beat: beat}
			case 1:
				c.Server = &Server{ID: id, State: Closing, Beat: beat}
			case 2:
				c.Leave = id
			case 3:
				c.Lost, c.Epoch = id, s.Duty.Epoch
			case 4:
				c.Put = manifest(fmt.Sprintf(`"r%d"`, s.Version+1), fmt.Sprintf(`"r%d"`, s.Version), carrier, route(fmt.Sprint("x", step), fine))
			case 5:
				if len(said) > 0 {
					c = said[rng.IntN(len(said))]
				}
			}
			said = append(said, c)
			before := s.Version
			out := s.Apply(uint64(step+1), c)
			assert.Assert(t, out.Status == Done, "%+v: %+v", c, out)
			assert.Assert(t, s.Version-before <= 1)
			if c.Server != nil && c.Server.State == Closing && !left[id] {
				closing[c.Server.ID] = true
			}
			if c.Leave != "" {
				left[c.Leave] = true
			}
			for id, x := range s.Servers {
				assert.Assert(t, !left[id], "%s is back, seed %d", id, seed)
				assert.Assert(t, !closing[id] || x.State == Closing, "%s is open again, seed %d", id, seed)
			}
		}
	}
}
