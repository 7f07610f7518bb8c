package clusterstate

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// manyRoutes returns a configuration of n routes. change may replace the text of a route, or drop the route by returning an empty text.
func manyRoutes(n int, edition, base string, change func(i int, r string) string) []byte {
	parcels := []string{serviceParcel}
	for i := range n {
		r := routeParcel(fmt.Sprint("r", i), strings.Replace(routeFields, "/x/", fmt.Sprintf("/x%d/", i), 1))
		if change != nil {
			r = change(i, r)
		}
		if r != "" {
			parcels = append(parcels, r)
		}
	}
	return manifest(edition, base, parcels...)
}

// The size of an update to a large configuration depends on what has changed, and a replica that applies it holds the same body. A delta
// that does not fit a replica's body is refused and changes nothing.
func TestDeltas(t *testing.T) {
	core, edge := NewHistory(New()), NewHistory(New())
	bodies := [][]byte{
		manyRoutes(1280, `"r1"`, `0`, nil),
		manyRoutes(1280, `"r2"`, `"r1"`, func(i int, r string) string {
			if i == 700 {
				return strings.Replace(r, "1500ms", "1400ms", 1)
			}
			return r
		}),
		manyRoutes(1281, `"r3"`, `"r2"`, nil),
		manyRoutes(1281, `"r4"`, `"r3"`, func(i int, r string) string {
			if i%100 == 3 {
				return ""
			}
			return r
		}),
	}
	for i, body := range bodies {
		index := uint64(i + 1)
		have := edge.State.Index
		_, out, err := core.Apply(index, Command{Put: body}.Encode())
		assert.NilError(t, err)
		assert.Equal(t, out.Status, StatusOK, out.Text)
		news := core.Since(have)
		if i > 0 {
			assert.Equal(t, len(news.Changes), 1)
			assert.Assert(t, len(news.Changes[0].Data) < 4096, "%d bytes for %d", len(news.Changes[0].Data), len(body))
			c, _ := Decode(news.Changes[0].Data)
			spoilt := New()
			spoilt.Body, spoilt.Version = []byte("other"), edge.State.Version
			assert.Equal(t, spoilt.Apply(9, c).Status, StatusInvalid)
			assert.Equal(t, string(spoilt.Body), "other")
		}
		if news.State != nil {
			edge = NewHistory(news.State)
		}
		for _, x := range news.Changes {
			c, _, err := edge.Apply(x.Index, x.Data)
			assert.NilError(t, err)
			assert.Assert(t, c.HasConfig())
		}
		assert.Equal(t, string(edge.State.Body), string(body))
		assert.DeepEqual(t, edge.State, core.State)
	}
	_, out, _ := core.Apply(9, Command{Put: bodies[1]}.Encode()) // a repeat: nothing to send
	assert.Equal(t, out.Status, StatusOK)
	assert.Equal(t, len(core.Since(4).Changes[0].Data), 0)
}
