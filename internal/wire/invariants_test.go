package wire

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cedarmast/internal/standin"
)

// runLog counts how often the servers have run each request.
type runLog struct {
	mu  sync.Mutex
	ran map[string]int // complete requests that were not rejected, by id
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
}

func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// Servers answer, fail, reject, break off at any point or stall, and clients reuse connections, reconnect or disconnect.
// Each request must get one complete answer in time, with the body of a server that received this request. A request that
// must not run twice never does, and is not refused after it has run.
func TestInvariantsUnderServerFailures(t *testing.T) {
	runs := &runLog{ran: map[string]int{}}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	randIntN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	var addresses []string
	for range 4 {
		s := standin.NewServer(t, func(r *standin.Request) bool {
			id := r.Header.Get(headerID)
			kind := randIntN(20)
			if kind == 0 {
				return r.Answer(503, "", "X-Unprocessed: 1")
			}
			runs.add(id)
			time.Sleep(time.Duration(randIntN(10)) * time.Millisecond)
			switch kind {
			case 1:
				return false
			case 2:
				io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"+id)
				return false
			case 3:
				r.Conn.(*net.TCPConn).SetLinger(0)
				return false
			case 4:
				return r.Answer(500, "no")
			case 5:
				r.Answer(200, id)
				return false // closes the connection once it is idle
			case 6:
				time.Sleep(time.Duration(randIntN(600)) * time.Millisecond)
			}
			return r.Answer(200, id)
		})
		addresses = append(addresses, s.Address)
	}
	r := newTestRouter(t, addresses...)
	s := newTestFrontend(t, 60, r)
	const clients, each = 20, 30
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			var conn net.Conn
			var br *bufio.Reader
			defer func() {
				if conn != nil {
					conn.Close()
				}
			}()
			for n := range each {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", s.address); err != nil {
						t.Error(err)
						return
					}
					br = bufio.NewReader(conn)
				}
				id, class := fmt.Sprintf("%d-%d", c, n), []string{"read", "once"}[randIntN(2)]
				started := time.Now()
				fmt.Fprintf(conn, "PUT /%s/k%d HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Time-Left: 500m\r\nContent-Length: 1\r\n\r\nv",
					class, randIntN(50), id)
				if randIntN(20) == 0 { // disconnects
					conn.Close()
					conn = nil
					continue
				}
				conn.SetReadDeadline(started.Add(2 * time.Second))
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Errorf("%s: no complete answer: %v", id, err)
					conn.Close()
					conn = nil
					continue
				}
				body, err := io.ReadAll(resp.Body)
				took := time.Since(started)
				ran := runs.count(id)
				switch {
				case err != nil:
					t.Errorf("%s: no complete answer: %v", id, err)
				case took > 700*time.Millisecond:
					t.Errorf("%s: answered after %v", id, took)
				case resp.StatusCode == 200 && string(body) != id:
					t.Errorf("%s: got %q", id, body)
				case class == "once" && ran > 1:
					t.Errorf("%s: ran %d times", id, ran)
				case class == "once" && resp.StatusCode == 503 && ran > 0:
					t.Errorf("%s: refused though it ran", id)
				}
				if resp.Close {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond)
	for c := range clients {
		for n := range each {
			if id := fmt.Sprintf("%d-%d", c, n); runs.count(id) > testSettings.MaxAttempts {
				t.Errorf("%s: %d attempts", id, runs.count(id))
			}
		}
	}
	if r.Counters.Overdue.Load() > 0 || r.Counters.Panics.Load() > 0 || r.Counters.Served.Load() < clients*each/4 {
		t.Errorf("%s", r.Counters.JSON())
	}
	t.Logf("%d served, %d refused, %d failed, %d gone", r.Counters.Served.Load(), r.Counters.Refused.Load(),
		r.Counters.Failed.Load(), r.Counters.ClientsDisconnected.Load())
}
