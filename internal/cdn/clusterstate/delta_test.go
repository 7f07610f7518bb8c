package clusterstate

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func many(n int, edition, base string, change func(i int, r string) string) []byte {
	all := []string{carrier}
	for i := range n {
		r := route(fmt.Sprint("r", i), strings.Replace(fine, "/x/", fmt.Sprintf("/x%d/", i), 1))
		if change != nil {
			r = change(i, r)
		}
		if r != "" {
			all = append(all, r)
		}
	}
	return manifest(edition, base, all...)
}

// What is handed on of a large configuration goes with what has changed; whoever follows it holds the same body, and what can't
// be made whole is refused and changes nothing.
func TestDeltas(t *testing.T) {
	core, edge := NewHistory(New()), NewHistory(New())
	bodies := [][]byte{
		many(1280, `"r1"`, `0`, nil),
		many(1280, `"r2"`, `"r1"`, func(i int, r string) string {
			if i == 700 {
				return strings.Replace(r, "1500ms", "1400ms", 1)
			}
			return r
		}),
		many(1281, `"r3"`, `"r2"`, nil),
		many(1281, `"r4"`, `"r3"`, func(i int, r string) string {
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
		assert.Equal(t, out.Status, Done, out.Text)
		news := core.Since(have)
		if i > 0 {
			assert.Equal(t, len(news.Changes), 1)
			assert.Assert(t, len(news.Changes[0].Data) < 4096, "%d bytes for %d", len(news.Changes[0].Data), len(body))
			c, _ := Decode(news.Changes[0].Data)
			spoilt := New()
			spoilt.Body, spoilt.Version = []byte("other"), edge.State.Version
			assert.Equal(t, spoilt.Apply(9, c).Status, Invalid)
			assert.Equal(t, string(spoilt.Body), "other")
		}
		if news.State != nil {
			edge = NewHistory(news.State)
		}
		for _, x := range news.Changes {
			c, _, err := edge.Apply(x.Index, x.Data)
			assert.NilError(t, err)
			assert.Assert(t, c.Configures())
		}
		assert.Equal(t, string(edge.State.Body), string(body))
		assert.DeepEqual(t, edge.State, core.State)
	}
	_, out, _ := core.Apply(9, Command{Put: bodies[1]}.Encode()) // once more: nothing to hand on
	assert.Equal(t, out.Status, Done)
	assert.Equal(t, len(core.Since(4).Changes[0].Data), 0)
}
