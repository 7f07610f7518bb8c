// Package wire is what a router speaks: HTTP/1.1 with clients, cache servers and discovery, datagrams with other
// routers. The client side and the server side meet only in an exchange.Exchange.
package wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The headers of the protocol, in canonical form.
const (
	headerID          = "X-Correlation-Id"
	headerClass       = "X-Service-Class"
	headerTenant      = "X-Account"
	headerTimeLeft    = "X-Time-Left"
	headerUnprocessed = "X-Unprocessed"
	headerLookup      = "X-Lookup"
	headerKeyed       = "Idempotency-Key"
	headerLoad        = "X-Backend-Load"
)

const (
	maxHead = 8 << 10  // bytes of a message's head; the size of each connection's read buffer
	maxBody = 64 << 10 // of its body, where it is held whole
	maxHeld = 32 << 20 // of a request's body, which is held whole where the budget for long ones has room
	maxLong = 64 << 20 // of a body that is passed on as it comes
)

// Errors of a message that breaks a bound.
var (
	ErrHeadTooLarge = errors.New("head over the limit")
	ErrBodyTooLarge = errors.New("body over the limit")
)

// readBody reads a body whole, within the bound. It leaves the body open: closing one that is not read to its end
// would wait for the rest of it.
func readBody(body io.Reader, length, most int64) ([]byte, error) {
	if length > most {
		return nil, ErrBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		text := make([]byte, length)
		_, err := io.ReadFull(body, text)
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(body, most+1))
	if err == nil && int64(len(text)) > most {
		return nil, ErrBodyTooLarge
	}
	return text, err
}

// hopByHop are the headers that belong to one connection, or that a writer states itself.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true}

// endToEnd removes from a head what is not to be passed on.
func endToEnd(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for name := range h {
		if hopByHop[name] {
			delete(h, name)
		}
	}
	return h
}

// appendHeader writes out header lines again.
func appendHeader(head []byte, h http.Header) []byte {
	for name, values := range h {
		for _, value := range values {
			head = appendLine(head, name, value)
		}
	}
	return head
}

func appendLine(head []byte, name, value string) []byte {
	head = append(append(head, name...), ": "...)
	return append(append(head, value...), "\r\n"...)
}

// writeMessage writes head and body at once and tells how many bytes the connection took.
func writeMessage(c net.Conn, head, body []byte) (written int64, err error) {
	parts := net.Buffers{head, body}
	return parts.WriteTo(c)
}

// parseTimeLeft reads a number with its unit: m for milliseconds or u for microseconds.
func parseTimeLeft(text string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if len(text) < 2 || units[text[len(text)-1]] == 0 {
		return 0, fmt.Errorf("%s %.20q: a number and m or u expected", headerTimeLeft, text)
	}
	number, unit := text[:len(text)-1], units[text[len(text)-1]]
	whole, part, _ := strings.Cut(number, ".")
	if !allDigits([]byte(whole)) || !allDigits([]byte(part)) { // ParseFloat takes more: signs, powers, Inf
		return 0, fmt.Errorf("%s %.20q: no number", headerTimeLeft, text)
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || !(n > 0) || n > float64(time.Hour/unit) {
		return 0, fmt.Errorf("%s %.20q: out of range", headerTimeLeft, text)
	}
	return time.Duration(n * float64(unit)), nil
}

// formatTimeLeft writes a time in microseconds, at least one.
func formatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(d.Microseconds(), 1), 10) + "u"
}
