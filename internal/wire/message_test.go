package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"cedarmast/internal/exchange"
)

func TestAwaitHead(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"whole", "GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", nil},
		{"bare line ends", "GET / HTTP/1.1\nHost: h\n\n", errFraming},
		{"empty lines first", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", nil},
		{"empty lines without end", strings.Repeat("\r\n", 100), errFraming},
		{"nothing", "", io.EOF},
		{"cut off", "GET / HTTP/1.1\r\nHos", io.ErrUnexpectedEOF},
		{"too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", maxHead), ErrHeadTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.text),
				"by bytes": iotest.OneByteReader(strings.NewReader(c.text))} {
				if _, err := awaitHead(bufio.NewReaderSize(r, maxHead), maxEmptyLines); !errors.Is(err, c.want) {
					t.Errorf("%s: %v, want %v", name, err, c.want)
				}
			}
		})
	}
}

func TestTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "1500u": 1500 * time.Microsecond,
		"0.5m": 500 * time.Microsecond} {
		if got, err := parseTimeLeft(text); err != nil || got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "m", "480", "480s", "-1m", "0m", "NaNm", "Infm", "1e30m", "4 m", "+4m", "1e2m", "0x4m", ".m"} {
		if got, err := parseTimeLeft(text); err == nil {
			t.Errorf("%q is taken for %v", text, got)
		}
	}
	for _, d := range []time.Duration{time.Second, 1234 * time.Microsecond} {
		if got, err := parseTimeLeft(formatTimeLeft(d)); err != nil || got != d {
			t.Errorf("%v became %v, %v", d, got, err)
		}
	}
	if got := formatTimeLeft(-time.Second); got != "1u" {
		t.Errorf("time that has run out is written %q", got)
	}
}

func TestPathsAndKeys(t *testing.T) {
	for path, want := range map[string][2]string{"/read/7f3a": {"read", "7f3a"}, "/read": {"read", ""},
		"/read/": {"read", ""}, "/read/a/b": {"read", "b"}, "/": {"", ""}, "/r/a%2Fb": {"r", "a%2Fb"}} {
		if class, key := splitPath(path); class != want[0] || key != want[1] {
			t.Errorf("%s: %q %q", path, class, key)
		}
	}
	// Routers of all versions must hash a key alike. This is the published FNV-1a value of "a".
	if got := hashKey("a"); got != 0xaf63dc4c8601ec8c {
		t.Errorf("the hash has changed: %x", got)
	}
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{"X-A": {"1"}, "Connection": {"close, x-b"}, "X-B": {"2"}, "Keep-Alive": {"3"},
		"Content-Length": {"9"}, "Transfer-Encoding": {"chunked"}}
	if got := endToEnd(h); !reflect.DeepEqual(got, http.Header{"X-A": {"1"}}) {
		t.Errorf("passed on: %v", got)
	}
}

func TestBodyLimits(t *testing.T) {
	body := func(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }
	for _, c := range []struct {
		n      int
		length int64
		want   error
	}{{0, 0, nil}, {maxBody, maxBody, nil}, {maxBody, -1, nil}, {maxBody + 1, -1, ErrBodyTooLarge},
		{0, 1 << 40, ErrBodyTooLarge}, {5, 9, io.ErrUnexpectedEOF}} {
		if _, err := readBody(body(c.n), c.length, maxBody); !errors.Is(err, c.want) {
			t.Errorf("%d bytes of %d: %v, want %v", c.n, c.length, err, c.want)
		}
	}
}

// Any input is read as a request within the size limits or rejected, and a request that was read can be written out and
// read again unchanged.
func FuzzRequestHead(f *testing.F) {
	for _, text := range []string{
		"GET /read/7f HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Time-Left: 480m\r\n\r\n",
		"PUT /w/1?q=%20 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nContent-Length: 2\r\n\r\nab",
		"PUT /w/1 HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"PUT /w/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Time-Left: 1m\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"PUT /w/1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Time-Left: 1m\r\nContent-Length: 2\r\n\r\nab",
		"GET  HTTP/1.1\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\nA\x00: b\r\n\r\n", "GET //x HTTP/1.0\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		frontend := &Frontend{}
		c := &clientConn{frontend: frontend, Conn: discardConn{}, input: &timedReader{},
			reader: bufio.NewReaderSize(bytes.NewReader(text), maxHead)}
		req, request, err := c.readRequest(time.Now())
		if err != nil || isStatusRequest(req) {
			return
		}
		if len(request.Body) > maxBody {
			t.Fatalf("a body of %d bytes", len(request.Body))
		}
		if request.Timeout <= 0 || request.Timeout > time.Hour || request.ID == "" {
			t.Fatalf("time left %v, id %q", request.Timeout, request.ID)
		}
		head := serializeHead(request)
		if frame, err := checkHead(head, singleRequestHeaders); err != nil || frame.chunked ||
			max(frame.length, 0) != int64(len(request.Body)) {
			t.Fatalf("%q is written out as %q: %+v, %v", text, head, frame, err)
		}
		out := append(head, request.Body...)
		again := &clientConn{frontend: frontend, Conn: discardConn{}, input: &timedReader{},
			reader: bufio.NewReaderSize(bytes.NewReader(out), 2*maxHead)}
		_, reread, err := again.readRequest(request.Arrived)
		if err != nil {
			t.Fatalf("%q is written out as %q: %v", text, out, err)
		}
		reread.Timeout = request.Timeout
		if request.Target != reread.Target || request.Method != reread.Method || request.Key != reread.Key ||
			request.Class != reread.Class || request.Tenant != reread.Tenant || !bytes.Equal(request.Body, reread.Body) {
			t.Fatalf("%+v became %+v", request, reread)
		}
	})
}

// Any input is read as a response within the size limits or is an error.
func FuzzAnswerHead(f *testing.F) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", "HTTP/1.1 100 \r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n", "HTTP/1.1 503 x\r\n\r\n", "x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nX-Backend-Load: \x01\r\nContent-Length: 1\r\n\r\nv"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, body := readResponse(bufio.NewReaderSize(bytes.NewReader(text), maxHead))
		if body != nil && (a.err != nil || a.body != nil || a.length >= 0 && a.length <= maxBody) {
			t.Fatalf("a body to come, and %+v", a)
		}
		if a.err == nil && (len(a.body) > maxBody || a.status < 200) {
			t.Fatalf("status %d with %d bytes", a.status, len(a.body))
		}
		if a.err != nil && a.err.Error() == "" {
			t.Fatal("an error with an empty message")
		}
	})
}

func serializeHead(request exchange.Request) []byte {
	x := exchange.New(request)
	x.Deadline = request.Arrived.Add(time.Second)
	return requestHead(x, request.Arrived)
}
