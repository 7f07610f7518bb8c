package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// A head is checked here, byte by byte, before net/http parses it where it lies. http.ReadRequest and
// http.ReadResponse take more than this router may: of a length beside chunks they drop the length, of equal lengths
// they keep one, and they take bare line feeds for line ends. Whoever reads such a message otherwise finds another
// message inside its body.

const (
	maxEmptyLines = 4  // before a request, which a client may leave behind its last one; none before an answer
	maxLength     = 18 // digits of a length: a longer one is no size of anything
)

// errFraming is the cause where a head can't be read in one way alone.
var errFraming = errors.New("malformed head")

// framing is what a head says of its body.
type framing struct {
	length  int64 // -1 if it says none
	chunked bool
	closes  bool // the connection ends with the message
}

// awaitHead waits until the buffer holds a whole head and returns it where it lies, valid until the next read. So many
// empty lines before it are dropped.
func awaitHead(r *bufio.Reader, empty int) ([]byte, error) {
	for n, seen := 1, 0; ; {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, ErrHeadTooLarge
			}
			if errors.Is(err, io.EOF) && n > 1 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		text, _ := r.Peek(r.Buffered())
		if text[0] == '\r' && len(text) == 1 {
			n = 2
			continue
		}
		if bytes.HasPrefix(text, []byte("\r\n")) {
			if empty--; empty < 0 {
				return nil, fmt.Errorf("%w: empty lines", errFraming)
			}
			r.Discard(2)
			n, seen = 1, 0
			continue
		}
		from := max(seen-3, 0) // an end may have come in pieces
		if i := bytes.Index(text[from:], []byte("\r\n\r\n")); i >= 0 {
			return text[:from+i+4], nil
		}
		if i := bytes.Index(text[from:], []byte("\n\n")); i >= 0 { // no use in waiting for more
			return nil, fmt.Errorf("%w: bare line ends", errFraming)
		}
		seen = len(text)
		if n = len(text) + 1; n > maxHead {
			return nil, ErrHeadTooLarge
		}
	}
}

// checkHead checks a whole head: its line ends, the form of each line, and that it states one length at most, well
// formed and not beside chunks. Headers named in single may stand there once.
func checkHead(text []byte, single map[string]bool) (framing, error) {
	f := framing{length: -1}
	line, rest, _ := bytes.Cut(text, []byte("\r\n"))
	if len(line) == 0 || !plain(line) {
		return f, fmt.Errorf("%w: first line", errFraming)
	}
	var seen [16]string
	met := seen[:0]
	for {
		if line, rest, _ = bytes.Cut(rest, []byte("\r\n")); len(line) == 0 {
			if len(rest) > 0 {
				return f, fmt.Errorf("%w: more behind its end", errFraming)
			}
			return f, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !plain(value) {
			return f, fmt.Errorf("%w: line %.40q", errFraming, line)
		}
		value = bytes.Trim(value, " \t")
		key := headerKey(name)
		if single[key] {
			for _, other := range met {
				if other == key {
					return f, fmt.Errorf("%w: %s twice", errFraming, key)
				}
			}
			met = append(met, key)
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

// headerKey is a header's name in canonical form.
func headerKey(name []byte) string {
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

// parseLength reads a length: digits and nothing else.
func parseLength(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > maxLength || !allDigits(text) {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	return n, err == nil
}

func allDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// plain tells whether a line has no control bytes but tabs.
func plain(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken tells whether a name is one of RFC 9110's tokens.
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
