package daemon

import (
	"errors"
	"net"
	"strings"
	"testing"

	"cedarmast/internal/boundedhttp"
)

// A page of a router that goes on ends an operator's command at its bound.
func TestEndlessPage(t *testing.T) {
	for start, want := range map[string]error{"HTTP/1.1 200 ": boundedhttp.ErrHeadTooLong, "": boundedhttp.ErrMalformedHead,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": boundedhttp.ErrBodyTooLong} {
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
			for block := []byte(start); err == nil; block = []byte(strings.Repeat("x", 64<<10)) {
				_, err = conn.Write(block)
			}
		}()
		if _, err := httpGet(l.Addr().String(), "/facts"); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", start, err, want)
		}
	}
}
