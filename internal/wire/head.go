package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"

	"cedarmast/internal/boundedhttp"
)

// Message heads are validated here, in the read buffer, before net/http parses them. http.ReadRequest and
// http.ReadResponse are too lenient for a proxy: with both Content-Length and chunked encoding they drop the length, of
// equal lengths they keep one, and they accept bare line feeds as line ends. A peer that reads such a message differently
// finds another message inside its body (request smuggling).

const (
	maxEmptyLines   = 4  // before a request, as some clients send them after a body; none before a response
	maxLengthDigits = 18 // digits of a Content-Length; a longer one is not a plausible size
)

// errFraming is wrapped by the errors for heads that are malformed or ambiguous.
var errFraming = boundedhttp.ErrMalformedHead

// framing is what a head states about the message's body.
type framing struct {
	length  int64 // of the body in bytes; -1 if not stated
	chunked bool
	closes  bool // Connection: close
}

// awaitHead waits until the buffer holds a complete head and returns it without consuming it. The slice is valid until the
// next read. Up to maxEmpty empty lines before the head are discarded.
func awaitHead(r *bufio.Reader, maxEmpty int) ([]byte, error) {
	return boundedhttp.AwaitHead(r, boundedhttp.HeadLimits{Bytes: maxHead, EmptyLines: maxEmpty})
}

// checkHead validates a complete head: its line ends, the syntax of each line, and that it has at most one Content-Length,
// well formed and not together with chunked encoding. The headers in single may occur once only.
func checkHead(head []byte, single map[string]bool) (framing, error) {
	f := framing{length: -1}
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	if len(line) == 0 || !noControlBytes(line) {
		return f, fmt.Errorf("%w: first line", errFraming)
	}
	var seenBuf [16]string
	seen := seenBuf[:0]
	for {
		if line, rest, _ = bytes.Cut(rest, []byte("\r\n")); len(line) == 0 {
			if len(rest) > 0 {
				return f, fmt.Errorf("%w: more behind its end", errFraming)
			}
			return f, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !noControlBytes(value) {
			return f, fmt.Errorf("%w: line %.40q", errFraming, line)
		}
		value = bytes.Trim(value, " \t")
		key := canonicalName(name)
		if single[key] {
			for _, other := range seen {
				if other == key {
					return f, fmt.Errorf("%w: %s twice", errFraming, key)
				}
			}
			seen = append(seen, key)
		}
		switch key {
		case "Connection":
			for word := range bytes.SplitSeq(value, []byte(",")) {
				f.closes = f.closes || bytes.EqualFold(bytes.TrimSpace(word), []byte("close"))
			}
		case "Content-Length":
			n, ok := parseLength(value)
			if !ok || f.length >= 0 || f.chunked {
				return f, fmt.Errorf("%w: Content-Length %.40q", errFraming, value)
			}
			f.length = n
		case "Transfer-Encoding":
			if !bytes.EqualFold(value, []byte("chunked")) || f.length >= 0 || f.chunked {
				return f, fmt.Errorf("%w: Transfer-Encoding %.40q", errFraming, value)
			}
			f.chunked = true
		}
	}
}

// canonicalName returns a header's name in canonical form.
func canonicalName(name []byte) string {
	key := make([]byte, len(name))
	upper := true
	for i, b := range name {
		switch {
		case upper && 'a' <= b && b <= 'z':
			b -= 'a' - 'A'
		case !upper && 'A' <= b && b <= 'Z':
			b += 'a' - 'A'
		}
		key[i], upper = b, b == '-'
	}
	return string(key)
}

// parseLength parses a Content-Length: digits only.
func parseLength(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > maxLengthDigits || !allDigits(text) {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	return n, err == nil
}

// allDigits reports whether text has no bytes but digits.
func allDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// noControlBytes reports whether a line has no control bytes other than tabs.
func noControlBytes(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether a name is a token as defined by RFC 9110.
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}
