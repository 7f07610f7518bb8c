package clusterstate

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Parsed incrementally, a configuration has the same content as when it is parsed as a whole, whatever its form: white space anywhere,
// fields after the parcels, the beginning of a parcel inside a string, and parcels that are broken, invalid or of an unknown kind.
func TestReaderMatchesParseManifest(t *testing.T) {
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
		strings.Replace(usual, `]}`, `,`+senderParcel("wax", "k-1", "k-2")+`,`+senderParcel("ink", "k-3")+`]}`, -1),
		strings.Replace(usual, `{"parcel_kind":"carriers"`, senderParcel("wax", "k-1")+`,`+senderParcel("ink", "k-1")+`,{"parcel_kind":"carriers"`, 1),
		strings.Replace(usual, `"tries":2`, `"unsealed":true`, 1),
		strings.Replace(usual, "/p4/", "/p5/", 1) + " ", strings.Replace(usual, "huvo11a", "nobody", 1),
	}
	var r reader
	rng := rand.New(rand.NewPCG(3, 1))
	for range 4000 {
		text := []byte(forms[rng.IntN(len(forms))])
		if position := rng.IntN(4 * (len(text) + 1)); position < len(text) { // sometimes one byte is replaced
			text[position] = `{}[],:" 0x`[rng.IntN(10)]
		}
		whole, wholeErr := ParseManifest(text)
		m, digest, err := r.read(text)
		assert.Equal(t, err == nil, wholeErr == nil, "%s\n%v, whole %v", text, err, wholeErr)
		if wholeErr == nil {
			assert.DeepEqual(t, m, whole)
		}
		assert.Equal(t, digest, Digest(text))
	}
	assert.Equal(t, Digest([]byte(forms[0])), Digest([]byte(forms[1])))
	assert.Assert(t, Digest([]byte(`{"a":"x y"}`)) != Digest([]byte(`{"a":"xy"}`)))
}

// A repeated configuration is acknowledged while it is remembered. One so old that it is forgotten is neither acknowledged nor refused, and
// one that was never accepted is refused.
func TestForgottenConfigurations(t *testing.T) {
	s := New()
	body := func(version, base int, zone string) []byte {
		return manifest(fmt.Sprintf(`"r%d"`, version), fmt.Sprintf(`"r%d"`, base), serviceParcel, routeParcel(zone, routeFields))
	}
	const taken = maxTaken + 10
	for v := 1; v <= taken; v++ {
		assert.Equal(t, s.Apply(uint64(v), Command{Put: body(2*v, 2*v-2, "a")}).Status, StatusOK)
	}
	cases := []struct {
		name          string
		version, base int
		zone          string
		want          int
	}{
		{"a repeat of the newest", 2 * taken, 2*taken - 2, "a", StatusOK},
		{"the oldest that is remembered", 2 * 11, 2 * 10, "a", StatusOK},
		{"the newest that is forgotten", 2 * 10, 2 * 9, "a", StatusUnknown},
		{"the first", 2, 0, "a", StatusUnknown},
		{"another body under a remembered number", 2 * 11, 2 * 10, "b", StatusStale},
		{"one on an old base", 2*taken + 1, 2 * 11, "a", StatusStale},
	}
	for _, c := range cases {
		for _, form := range []Command{{Put: body(c.version, c.base, c.zone)},
			{Change: Diff(Version(c.base), Version(c.version), s.Body, body(c.version, c.base, c.zone), Digest(body(c.version, c.base, c.zone)))}} {
			if form.HasConfig() {
				assert.Equal(t, s.Apply(9999, form).Status, c.want, c.name)
				assert.Equal(t, s.Version, Version(2*taken))
			}
		}
	}
}

// Commands are applied in any number, order and mixture, some repeatedly: a closing server never opens again, one that left never comes
// back, and a configuration takes effect once.
func TestRepeatedCommands(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s, issued := New(), []Command{}
		closing, left := map[string]bool{}, map[string]bool{}
		beat := uint64(0)
		for step := range 120 {
			id := fmt.Sprint("i-", rng.IntN(4))
			c := Command{}
			switch beat++; rng.IntN(6) {
			case 0:
				c.Server = &Server{ID: id, State: ServerOpen, Beat: beat}
			case 1:
				c.Server = &Server{ID: id, State: ServerClosing, Beat: beat}
			case 2:
				c.Leave = id
			case 3:
				c.Lost, c.Epoch = id, s.Duty.Epoch
			case 4:
				c.Put = manifest(fmt.Sprintf(`"r%d"`, s.Version+1), fmt.Sprintf(`"r%d"`, s.Version), serviceParcel, routeParcel(fmt.Sprint("x", step), routeFields))
			case 5:
				if len(issued) > 0 {
					c = issued[rng.IntN(len(issued))]
				}
			}
			issued = append(issued, c)
			before := s.Version
			out := s.Apply(uint64(step+1), c)
			assert.Assert(t, out.Status == StatusOK, "%+v: %+v", c, out)
			assert.Assert(t, s.Version-before <= 1)
			if c.Server != nil && c.Server.State == ServerClosing && !left[id] {
				closing[c.Server.ID] = true
			}
			if c.Leave != "" {
				left[c.Leave] = true
			}
			for id, x := range s.Servers {
				assert.Assert(t, !left[id], "%s is back, seed %d", id, seed)
				assert.Assert(t, !closing[id] || x.State == ServerClosing, "%s is open again, seed %d", id, seed)
			}
		}
	}
}
