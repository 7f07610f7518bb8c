package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures sequential requests over persistent connections, for the router and its fake server together: one that is
// answered from the cache, and one that goes to the server.
// `go test -run XXX -bench BenchmarkRequest -benchmem ./internal/cdn/edge`
func BenchmarkRequest(b *testing.B) {
	for name, prefix := range map[string]string{"copy": "/s/", "server": "/r/"} {
		b.Run(name, func(b *testing.B) {
			e, _ := newTestEdge(b, newOrigin(b), threeRoutesJSON)
			c, err := net.Dial("tcp", strings.TrimPrefix(listen(b, e), "http://"))
			assert.NilError(b, err)
			defer c.Close()
			answers := bufio.NewReader(c)
			for n := 0; b.Loop(); n++ {
				fmt.Fprintf(c, "GET %s1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: try-%d\r\nTime-Left: 2000\r\n\r\n", prefix, n)
				resp, err := http.ReadResponse(answers, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp, err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
