package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endlessStarts are beginnings of responses that go on with bytes that mean nothing, without end. The bound is that of their error.
var endlessStarts = map[string]error{
	"":                           errMalformed,
	"HTTP/1.1 200 ":              errMalformed,
	"HTTP/1.1 200 OK\r\nX: ":     errMalformed,
	"HTTP/1.1 103 Early\r\n\r\n": errMalformed,
	"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n": errMalformed,
}

// repeatingReader yields a text again and again, and counts the bytes.
type repeatingReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeatingReader) Read(b []byte) (int, error) {
	for n := range b {
		b[n] = r.text[(r.read+n)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

// A cache server's response that goes on fails at a bound, and little of it is read.
func TestEndlessResponseFails(t *testing.T) {
	for start, want := range endlessStarts {
		endless := &repeatingReader{text: "x"}
		resp, body := readResponse(bufio.NewReaderSize(io.MultiReader(strings.NewReader(start), endless), maxHead))
		if !errors.Is(resp.err, want) || body != nil || endless.read > 2*maxHead {
			t.Errorf("%q: %v, %d bytes were read", start, resp.err, endless.read)
		}
	}
	interim := &repeatingReader{text: "HTTP/1.1 103 Early\r\nX: x\r\n\r\n"}
	if resp, _ := readResponse(bufio.NewReaderSize(interim, maxHead)); !errors.Is(resp.err, errMalformed) || interim.read > 2*maxHead {
		t.Errorf("interim responses: %v, %d bytes were read", resp.err, interim.read)
	}
}

// A list that goes on fails at its bound, and what is held of it is not much more than that.
func TestEndlessListFails(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 200 ", "HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n[",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n80000000000000\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = io.WriteString(conn, start)
			for block := []byte(strings.Repeat("x", 64<<10)); err == nil; {
				_, err = conn.Write(block)
			}
		}()
		d := NewDiscovery(l.Addr().String())
		d.Index = UnknownIndex
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		list, err := d.fetchList(ctx, firstWatchWait)
		stop()
		runtime.ReadMemStats(&after)
		if err == nil || after.TotalAlloc-before.TotalAlloc > 4*maxListBytes {
			t.Errorf("%q: %v, %v, %d bytes were allocated", start, list, err, after.TotalAlloc-before.TotalAlloc)
		}
	}
}
