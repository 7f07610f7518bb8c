package localnet

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A proxy is paused while a key is removed. Its clients' connections stay open, and their requests arrive when the key must no longer work
// anywhere. When the proxy resumes it runs none of them, whether it reads the requests or the new configuration first.
func TestAPausedProxyRunsNothingForARemovedKey(t *testing.T) {
	const clients = 40
	revoke := 2 * time.Second
	n := Shape{Core: 3, Edges: 2, Zones: 2, Subnet: 79, Revoke: revoke}.startForTest(t)
	server, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	put := func(body []byte) {
		status, text, err := n.Control(t.Context(), http.MethodPut, "/manifest", body)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%s", text)
	}
	put(keyedManifest())
	paused := n.EdgeMachines()[0]
	served := func() bool {
		status, err := n.RequestWithKey(paused, "shop.example", "/resendable/1", fmt.Sprint("try-", time.Now().UnixNano()), "k-wax")
		return err == nil && status == http.StatusOK
	}
	waitFor(t, 20*time.Second, "served", served)
	var open []net.Conn
	for range clients {
		c, err := net.Dial("tcp", paused.ClientAddress())
		assert.NilError(t, err)
		defer c.Close()
		open = append(open, c)
	}
	n.Signal(paused, syscall.SIGSTOP)
	put(manifestWithoutWax(2, 1))
	<-time.After(revoke + 100*time.Millisecond)
	before, _ := server.RunCounts()
	for i, c := range open {
		fmt.Fprintf(c, "GET /resendable/%d HTTP/1.1\r\nHost: shop.example\r\nTry-Id: late-%d\r\nTime-Left: 2000\r\nKey: k-wax\r\n\r\n", i, i)
	}
	n.Signal(paused, syscall.SIGCONT)
	var all sync.WaitGroup
	for _, c := range open {
		all.Go(func() {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.Check(t, err)
			assert.Check(t, err != nil || r.StatusCode == http.StatusUnauthorized || r.StatusCode == http.StatusServiceUnavailable, "%v", r)
		})
	}
	all.Wait()
	after, _ := server.RunCounts()
	assert.Equal(t, after, before, "requests with a removed key have run")
}
