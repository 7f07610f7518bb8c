// Package wire implements the router's network protocols: HTTP/1.1 with clients, cache servers and the discovery service,
// and UDP datagrams with other routers. The client side and the server side share nothing but exchange.Exchange.
package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/boundedhttp"
)

// Header names of the protocol, in canonical form.
const (
	headerID             = "X-Correlation-Id"
	headerClass          = "X-Service-Class"
	headerTenant         = "X-Account"
	headerTimeLeft       = "X-Time-Left"
	headerUnprocessed    = "X-Unprocessed"
	headerLookup         = "X-Lookup"
	headerIdempotencyKey = "Idempotency-Key"
	headerLoad           = "X-Backend-Load"
)

// Size limits of messages, in bytes.
const (
	maxHead         = 8 << 10  // head; the size of each connection's read buffer
	maxBody         = 64 << 10 // body that is buffered whole
	maxBufferedBody = 32 << 20 // request body that is buffered whole if the budget for long bodies has room
	maxStreamedBody = 64 << 20 // response body that is streamed
)

// Errors of messages over a size limit.
var (
	ErrHeadTooLarge = boundedhttp.ErrHeadTooLong
	ErrBodyTooLarge = boundedhttp.ErrBodyTooLong
)

// readBody reads a complete body of at most limit bytes; length is -1 if unknown. It does not close the body: closing one
// that is not read to its end would wait for the rest of it.
func readBody(body io.Reader, length, limit int64) ([]byte, error) {
	return boundedhttp.ReadBody(body, length, limit, boundedhttp.Uncharged{})
}

// hopByHop are the headers that apply to one connection only, or that are set when a message is written.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true}

// endToEnd removes the headers that must not be forwarded, in place, and returns h.
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

// appendHeader appends the header lines of h.
func appendHeader(head []byte, h http.Header) []byte {
	for name, values := range h {
		for _, value := range values {
			head = appendLine(head, name, value)
		}
	}
	return head
}

// appendLine appends one header line.
func appendLine(head []byte, name, value string) []byte {
	head = append(append(head, name...), ": "...)
	return append(append(head, value...), "\r\n"...)
}

// writeMessage writes head and body in one call and returns the number of bytes written.
func writeMessage(c net.Conn, head, body []byte) (written int64, err error) {
	parts := net.Buffers{head, body}
	return parts.WriteTo(c)
}

// parseTimeLeft parses an X-Time-Left value: a number with its unit, m for milliseconds or u for microseconds.
func parseTimeLeft(text string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if len(text) < 2 || units[text[len(text)-1]] == 0 {
		return 0, fmt.Errorf("%s %.20q: a number and m or u expected", headerTimeLeft, text)
	}
	number, unit := text[:len(text)-1], units[text[len(text)-1]]
	whole, fraction, _ := strings.Cut(number, ".")
	if !allDigits([]byte(whole)) || !allDigits([]byte(fraction)) { // ParseFloat would accept signs, exponents and Inf
		return 0, fmt.Errorf("%s %.20q: no number", headerTimeLeft, text)
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || !(n > 0) || n > float64(time.Hour/unit) {
		return 0, fmt.Errorf("%s %.20q: out of range", headerTimeLeft, text)
	}
	return time.Duration(n * float64(unit)), nil
}

// formatTimeLeft formats an X-Time-Left value in microseconds, at least 1.
func formatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(d.Microseconds(), 1), 10) + "u"
}
