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

// A text is the same to the byte after encoding and decoding, as JSON (the log) and as gob (between processes). What can't be
// decompressed is an error.
func TestTextRoundTrip(t *testing.T) {
	cases := []struct {
		name string
		text CompressedText
		most int // bytes that it may take in the log
	}{
		{"none", CompressedText{}, 2},
		{"short", CompressedText("~not packed"), 32},
		{"binary data", bytes.Repeat([]byte{0xff, 0, '"', '\\'}, 4096), 512},
		{"a configuration of 1280 routes", manyRoutes(1280, `"r1"`, `0`, nil), 40 << 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			line, err := json.Marshal(c.text)
			assert.NilError(t, err)
			assert.Assert(t, len(line) <= c.most, "%d bytes of %d", len(line), len(c.text))
			var back, over CompressedText
			assert.NilError(t, json.Unmarshal(line, &back))
			assert.Assert(t, bytes.Equal(back, c.text))
			var b bytes.Buffer
			assert.NilError(t, gob.NewEncoder(&b).Encode(&c.text))
			assert.Assert(t, b.Len() <= c.most+64)
			assert.NilError(t, gob.NewDecoder(&b).Decode(&over))
			assert.Assert(t, bytes.Equal(over, c.text))
		})
	}
	var old CompressedText // from a log that was written before texts were compressed
	assert.NilError(t, json.Unmarshal([]byte(`"`+base64.StdEncoding.EncodeToString([]byte(serviceParcel))+`"`), &old))
	assert.Equal(t, string(old), serviceParcel)
	for _, bad := range []string{`"~"`, `"~AAAA"`, `"~%%%"`, `7`} {
		assert.Assert(t, json.Unmarshal([]byte(bad), &old) != nil, bad)
	}
	for _, bad := range [][]byte{nil, {7}, {compressedFormat}, {compressedFormat, 1, 2, 3}} {
		assert.Assert(t, old.GobDecode(bad) != nil, "%v", bad)
	}
}

// A few bytes that decompress to gigabytes are refused, not held in memory.
func TestDecompressionIsBounded(t *testing.T) {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	chunk := make([]byte, 1<<20)
	for range maxTextBytes>>20 + 1 {
		w.Write(chunk)
	}
	w.Close()
	_, err := decompress(b.Bytes())
	assert.ErrorContains(t, err, "more than")
}

// An update with many routes is small. Without compression 1,280 new routes took 430 KB for each edge, which is seconds on a link of 12
// Mbit/s that also carries responses to clients, so that the version came into force too late (rule CONFIG, scenario
// cqa-altiplano-grown).
func TestManyRoutesMakeASmallUpdate(t *testing.T) {
	core := NewHistory(New())
	for i, body := range [][]byte{manyRoutes(14, `"r1"`, `0`, nil), manyRoutes(1294, `"r2"`, `"r1"`, nil)} {
		_, out, err := core.Apply(uint64(i+1), Command{Put: body}.Encode())
		assert.NilError(t, err)
		assert.Equal(t, out.Status, StatusOK, out.Text)
	}
	for _, have := range []uint64{1, 0} { // the change, and the whole state for a copy that has nothing
		var b bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&b).Encode(core.Since(have)))
		assert.Assert(t, b.Len() < 48<<10, "%d bytes from %d", b.Len(), have)
	}
}

func FuzzTexts(f *testing.F) {
	f.Add([]byte(`"~AAAA"`))
	f.Add([]byte(strings.Repeat("x", 2*minCompressedText)))
	f.Fuzz(func(t *testing.T, text []byte) {
		var x CompressedText
		x.UnmarshalJSON(text)
		x.GobDecode(text)
		line, err := CompressedText(text).MarshalJSON()
		assert.NilError(t, err)
		assert.NilError(t, x.UnmarshalJSON(line))
		assert.Assert(t, bytes.Equal(x, text), fmt.Sprintf("%q", text))
	})
}
