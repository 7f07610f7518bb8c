package boundedhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

var testLimits = Limits{HeadBytes: 16 << 10, HeadLines: 100, InterimResponses: 3, BodyBytes: 1 << 20}

// repeated yields a text without end, and counts what is read.
type repeated struct {
	text []byte
	read int
}

// Read implements io.Reader.
func (r *repeated) Read(b []byte) (int, error) {
	for n := range b {
		b[n] = r.text[(r.read+n)%len(r.text)]
	}
	r.read += len(b)
	return len(b), nil
}

// account is a Charge with a limit.
type account struct{ used, most, limit int64 }

var errAccountFull = errors.New("account is full")

// Grow implements Charge.
func (a *account) Grow(bytes int64) error {
	if a.used+bytes > a.limit {
		return errAccountFull
	}
	a.used += bytes
	a.most = max(a.most, a.used)
	return nil
}

// Shrink implements Charge.
func (a *account) Shrink(bytes int64) { a.used -= bytes }

// Limit implements Charge.
func (a *account) Limit() int64 { return a.limit }

// read reads one response with its body.
func read(conn io.Reader, charge Charge) ([]byte, *Reader, error) {
	r := NewReader(conn, testLimits)
	response, err := r.Response(http.MethodGet, charge)
	if err != nil {
		return nil, r, err
	}
	body, err := r.Body(response, http.MethodGet, charge)
	return body, r, err
}

// A response without end ends with an error at its bound: little more than the bound is read, and what is kept is charged.
func TestEndlessResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, start, repeat string
		want                error
		mostRead            int
	}{
		{"status line", "HTTP/1.1 200 ", "x", ErrHeadTooLong, 2 * testLimits.HeadBytes},
		{"no response", "", "garbage", ErrMalformedHead, bufferBytes},
		{"header line", ok + "X: ", "x", ErrHeadTooLong, 2 * testLimits.HeadBytes},
		{"header lines", ok, "X: x\r\n", ErrHeadTooLong, 2 * testLimits.HeadBytes},
		{"folded lines", ok + "X: x\r\n", " x\r\n", ErrHeadTooLong, 2 * testLimits.HeadBytes},
		{"bare line ends", "HTTP/1.1 200 OK\n\n", "x", ErrMalformedHead, bufferBytes},
		{"interim responses", "", "HTTP/1.1 103 Early\r\n\r\n", ErrInterimResponses, bufferBytes},
		{"long interim responses", "", "HTTP/1.1 103 Early\r\nX: " + strings.Repeat("x", 7<<10) + "\r\n\r\n", ErrHeadTooLong, 4 * testLimits.HeadBytes},
		{"switched protocols", "HTTP/1.1 101 Switching\r\n\r\n", "x", ErrMalformedHead, bufferBytes},
		{"body until the connection closes", ok + "\r\n", "x", ErrBodyTooLong, 2 << 20},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", ErrBodyTooLong, 4 << 20},
		{"a length over the limit", ok + "Content-Length: 9000000000000000000\r\n\r\n", "x", ErrBodyTooLong, bufferBytes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endless, charge := &repeated{text: []byte(c.repeat)}, &account{limit: 4 << 20}
			_, _, err := read(io.MultiReader(strings.NewReader(c.start), endless), charge)
			assert.ErrorIs(t, err, c.want)
			assert.Assert(t, endless.read <= c.mostRead, "%d bytes were read", endless.read)
		})
	}
}

// What has no room in the account is not read.
func TestResponseWithoutRoom(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", "HTTP/1.1 200 OK\r\nX: "} {
		endless, charge := &repeated{text: []byte("x")}, &account{limit: 8 << 10}
		if strings.Contains(start, "\n\r\n") {
			charge.limit = 400 << 10
			charge.used = 300 << 10
		}
		_, _, err := read(io.MultiReader(strings.NewReader(start), endless), charge)
		assert.ErrorIs(t, err, errAccountFull)
		assert.Assert(t, endless.read < 256<<10, "%d bytes were read", endless.read)
	}
}

// Proper responses of all shapes are read whole, however their bytes arrive, and one behind the other. A long head's buffer is given back.
func TestProperResponses(t *testing.T) {
	longHead := "X: " + strings.Repeat("x", 9000) + "\r\n"
	body := strings.Repeat("body ", 40000)
	texts := []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", longHead, len(body), body),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		fmt.Sprintf("HTTP/1.0 200 OK\r\n%s\r\n%s", longHead, body),
	}
	whole := strings.Join(texts, "")
	for name, conn := range map[string]io.Reader{"at once": strings.NewReader(whole), "by bytes": iotest.OneByteReader(strings.NewReader(whole)),
		"with the end": iotest.DataErrReader(strings.NewReader(whole))} {
		r := NewReader(conn, testLimits)
		for i := range texts {
			charge := &account{limit: 1 << 20}
			response, err := r.Response(http.MethodGet, charge)
			assert.NilError(t, err, "%s, %d", name, i)
			got, err := r.Body(response, http.MethodGet, charge)
			assert.NilError(t, err, "%s, %d", name, i)
			assert.Assert(t, bytes.Equal(got, []byte(body)), "%s, %d: %d bytes", name, i, len(got))
		}
		assert.Equal(t, r.Buffered(), 0)
		assert.Equal(t, r.buffer.Size(), bufferBytes, name)
	}
	response, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), testLimits).Response(http.MethodHead, Uncharged{})
	assert.NilError(t, err)
	assert.Equal(t, response.ContentLength, int64(5))
}

// A response that is cut short is an error, and not a shorter response.
func TestCutResponses(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Len", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfour"} {
		_, _, err := read(strings.NewReader(text), Uncharged{})
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	_, _, err := read(strings.NewReader(""), Uncharged{})
	assert.ErrorIs(t, err, io.EOF)
}
