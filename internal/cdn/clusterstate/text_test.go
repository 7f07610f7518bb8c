package clusterstate

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// What is carried folded comes out to the byte, in the log's form and in that between processes; what can't be unfolded is an error and
// changes nothing.
func TestTexts(t *testing.T) {
	cases := []struct {
		name string
		text Text
		most int // bytes that it may take in the log
	}{
		{"none", Text{}, 2},
		{"short", Text("~not packed"), 32},
		{"bytes that are no text", bytes.Repeat([]byte{0xff, 0, '"', '\\'}, 4096), 512},
		{"a configuration of 1280 routes", many(1280, `"r1"`, `0`, nil), 40 << 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			line, err := json.Marshal(c.text)
			assert.NilError(t, err)
			assert.Assert(t, len(line) <= c.most, "%d bytes of %d", len(line), len(c.text))
			var back, over Text
			assert.NilError(t, json.Unmarshal(line, &back))
			assert.Assert(t, bytes.Equal(back, c.text))
			var b bytes.Buffer
			assert.NilError(t, gob.NewEncoder(&b).Encode(&c.text))
			assert.Assert(t, b.Len() <= c.most+64)
			assert.NilError(t, gob.NewDecoder(&b).Decode(&over))
			assert.Assert(t, bytes.Equal(over, c.text))
		})
	}
	var old Text // of a log that was written before texts were folded
	assert.NilError(t, json.Unmarshal([]byte(`"`+base64.StdEncoding.EncodeToString([]byte(carrier))+`"`), &old))
	assert.Equal(t, string(old), carrier)
	for _, bad := range []string{`"~"`, `"~AAAA"`, `"~%%%"`, `7`} {
		assert.Assert(t, json.Unmarshal([]byte(bad), &old) != nil, bad)
	}
	for _, bad := range [][]byte{nil, {7}, {packedByte}, {packedByte, 1, 2, 3}} {
		assert.Assert(t, old.GobDecode(bad) != nil, "%v", bad)
	}
}

// A few bytes that unfold to gigabytes are refused, not held.
func TestATextThatNeverEnds(t *testing.T) {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	chunk := make([]byte, 1<<20)
	for range longestText>>20 + 1 {
		w.Write(chunk)
	}
	w.Close()
	_, err := unpackText(b.Bytes())
	assert.ErrorContains(t, err, "more than")
}

// 1,280 routes at once weighed 430 KB in the news for each edge, seconds of a link of 12 Mbit/s beside clients' answers: the version came
// into force after its time (CONFIG, cqa-altiplano-grown).
func TestManyRoutesWeighLittleInTheNews(t *testing.T) {
	core := NewHistory(New())
	for i, body := range [][]byte{many(14, `"r1"`, `0`, nil), many(1294, `"r2"`, `"r1"`, nil)} {
		_, out, err := core.Apply(uint64(i+1), Command{Put: body}.Encode())
		assert.NilError(t, err)
		assert.Equal(t, out.Status, Done, out.Text)
	}
	for _, have := range []uint64{1, 0} { // the change, and the whole state for one who has nothing
		var b bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&b).Encode(core.Since(have)))
		assert.Assert(t, b.Len() < 48<<10, "%d bytes from %d", b.Len(), have)
	}
}

func FuzzTexts(f *testing.F) {
	f.Add([]byte(`"~AAAA"`))
	f.Add([]byte(strings.Repeat("x", 2*shortText)))
	f.Fuzz(func(t *testing.T, text []byte) {
		var x Text
		x.UnmarshalJSON(text)
		x.GobDecode(text)
		line, err := Text(text).MarshalJSON()
		assert.NilError(t, err)
		assert.NilError(t, x.UnmarshalJSON(line))
		assert.Assert(t, bytes.Equal(x, text), fmt.Sprintf("%q", text))
	})
}
