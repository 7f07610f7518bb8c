package daemon

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/standin"
)

// startInSharedDir starts a router process with a directory that successive processes share.
func startInSharedDir(t *testing.T, config map[string]any, shared string) *child {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, marshal(t, config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &child{Cmd: exec.Command(os.Args[0]), address: config["listen"].(string), log: &syncBuffer{}, exited: make(chan error, 1)}
	p.Env = append(os.Environ(), "CEDARMAST_TEST_ROUTER=1", "GW_CONFIG="+path, "TMPDIR="+shared)
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return p
}

// call makes one call to the operators' API and returns its status; 0 if it got none.
func call(t *testing.T, address, method, path string) int {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: b\r\n\r\n", method, path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (p *child) waitHealthy(t *testing.T, operators string) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the process at %s:\n%s", operators, p.log)
		}
	})
	for until := time.Now().Add(15 * time.Second); call(t, operators, "GET", "/healthcheck") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) { // a start under the race detector on a loaded machine takes seconds
			t.Fatal("the process is not healthy")
		}
	}
}

// clientLoad is a group of clients that each send one request after another, some on kept-alive connections.
type clientLoad struct {
	stop       atomic.Bool
	wg         sync.WaitGroup
	served     atomic.Int64
	unanswered atomic.Int64 // requests sent on a new connection without a response
	rejected   atomic.Int64 // connections refused
	lastError  atomic.Value
}

func startClients(address string, n int, path string) *clientLoad {
	s := &clientLoad{}
	for i := range n {
		s.wg.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for !s.stop.Load() {
				fresh := c == nil
				if fresh {
					var err error
					if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
						s.rejected.Add(1)
						c = nil
						continue
					}
					r = bufio.NewReader(c)
				}
				c.SetDeadline(time.Now().Add(5 * time.Second))
				_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %d\r\nX-Time-Left: 2000m\r\n\r\n", path, requestIDs.Add(1))
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(r, nil)
				}
				if err != nil {
					if fresh { // a kept-alive connection may be closed between requests
						s.unanswered.Add(1)
						s.lastError.Store(err)
					}
					c.Close()
					c = nil
					continue
				}
				io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == 200 {
					s.served.Add(1)
				}
				if resp.Close || i%3 == 0 {
					c.Close()
					c = nil
				}
				time.Sleep(time.Duration(i%5) * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	return s
}

func (s *clientLoad) stopAndWait() { s.stop.Store(true); s.wg.Wait() }

// A process is replaced twice under load: no connection is refused and no request lost, a server out for maintenance
// stays out through both replacements, an order during the overlap applies to both processes, and together they stay
// within one router's descriptors.
func TestReplacementUnderLoad(t *testing.T) {
	var atA, atB atomic.Int64
	a := standin.NewServer(t, func(r *standin.Request) bool { atA.Add(1); return r.Answer(200, "a") })
	b := standin.NewServer(t, func(r *standin.Request) bool { atB.Add(1); return r.Answer(200, "b") })
	list := []standin.Endpoint{{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1}, {Name: "b", Address: b.Address, Status: "SERVING", Weight: 1}}
	discovery := standin.NewDiscovery(t, 1, list...)
	const sockets = 200
	config := testConfig(t, a.Address, discovery.Address, sockets)
	delete(config, "known")
	shared := t.TempDir()
	operators := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	config["operator"] = operators[0]
	old := startInSharedDir(t, config, shared)
	old.waitHealthy(t, operators[0])
	if status := call(t, operators[0], "PUT", "/cache-servers/b/maint"); status != 200 {
		t.Fatalf("maint: %d", status)
	}
	if status := call(t, operators[0], "PUT", "/cache-servers/nobody/maint"); status != 404 {
		t.Errorf("maint of an unknown server: %d", status)
	}
	before := atB.Load()
	clients := startClients(old.address, 20, "/read/k")
	for i := 1; i < 3; i++ {
		config["operator"] = operators[i]
		successor := startInSharedDir(t, config, shared)
		successor.waitHealthy(t, operators[i])
		if n, m := descriptors(old), descriptors(successor); n+m > sockets {
			t.Errorf("%d and %d descriptors of %d", n, m, sockets)
		}
		if status := call(t, operators[i], "PUT", "/cache-servers/a/maint"); status != 200 {
			t.Errorf("maint at the new process: %d", status)
		}
		if status := call(t, operators[i-1], "PUT", "/cache-servers/a/ready"); status != 200 {
			t.Errorf("ready at the old process: %d", status)
		}
		old.Process.Signal(syscall.SIGTERM)
		log := old.waitExit(t)
		if !strings.Contains(log, "handed over to a successor") {
			t.Errorf("not handed over:\n%s", log)
		}
		standin.Eventually(t, "the new process has the full limits", func() bool { return strings.Contains(successor.log.String(), "the other process has gone") })
		old = successor
	}
	served := clients.served.Load()
	standin.Eventually(t, "the last process serves", func() bool { return clients.served.Load() > served+50 })
	clients.stopAndWait()
	if clients.unanswered.Load() > 0 || clients.rejected.Load() > 0 {
		t.Errorf("%d unanswered, last error %v, %d refused", clients.unanswered.Load(), clients.lastError.Load(), clients.rejected.Load())
	}
	if n := atB.Load() - before; n > 0 {
		t.Errorf("%d requests at a server out for maintenance", n)
	}
	if status := call(t, operators[2], "PUT", "/cache-servers/b/ready"); status != 200 {
		t.Errorf("ready: %d", status)
	}
	i := 0
	standin.Eventually(t, "the server put back is used", func() bool {
		i++
		ask(old.address, fmt.Sprint("/read/k", i))
		return atB.Load() > before
	})
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
}

func descriptors(p *child) int {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(fds)
}

// A successor that dies before it serves leaves the old process serving with its full limits, and the next successor
// takes over. A successor that starts during another replacement is refused.
func TestFailedReplacement(t *testing.T) {
	a := serverNamed(t, "a")
	silent := standin.NewDiscovery(t, 1)
	silent.SetStatus(-1)
	config := testConfig(t, a.Address, silent.Address, 200)
	shared := t.TempDir()
	first, second := freeAddress(t), freeAddress(t)
	config["operator"] = first
	old := startInSharedDir(t, config, shared)
	old.waitHealthy(t, first)
	config["operator"] = second
	failed := startInSharedDir(t, config, shared)
	standin.Eventually(t, "the process has taken over", func() bool { return strings.Contains(failed.log.String(), "taken over") })
	config["operator"] = freeAddress(t)
	third := startInSharedDir(t, config, shared)
	if err := <-third.exited; err == nil || !strings.Contains(third.log.String(), "another replacement is under way") {
		t.Errorf("a third process: %v\n%s", err, third.log)
	}
	failed.Process.Kill()
	<-failed.exited
	standin.Eventually(t, "the old process has its full limits again", func() bool { return strings.Contains(old.log.String(), "the other process has gone") })
	if status, body, err := ask(old.address, "/read/k"); status != 200 || body != "a" {
		t.Errorf("after a failed replacement: %d %q %v", status, body, err)
	}
	config["operator"] = second
	successor := startInSharedDir(t, config, shared)
	successor.waitHealthy(t, second)
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	if status, body, err := ask(successor.address, "/read/k"); status != 200 || body != "a" {
		t.Errorf("after the replacement: %d %q %v", status, body, err)
	}
	successor.Process.Signal(syscall.SIGTERM)
	successor.waitExit(t)
}

// If the old process hangs, the new one starts beside it and keeps to the maintenance orders saved in the file.
func TestReplacementOfAHungProcess(t *testing.T) {
	a := serverNamed(t, "a")
	b := serverNamed(t, "b")
	discovery := standin.NewDiscovery(t, 1, standin.Endpoint{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1},
		standin.Endpoint{Name: "b", Address: b.Address, Status: "SERVING", Weight: 1})
	config := testConfig(t, a.Address, discovery.Address, 200)
	delete(config, "known")
	shared := t.TempDir()
	first, second := freeAddress(t), freeAddress(t)
	config["operator"] = first
	old := startInSharedDir(t, config, shared)
	old.waitHealthy(t, first)
	if status := call(t, first, "PUT", "/cache-servers/b/maint"); status != 200 {
		t.Fatalf("maint: %d", status)
	}
	old.Process.Signal(syscall.SIGSTOP)
	config["operator"] = second
	successor := startInSharedDir(t, config, shared)
	successor.waitHealthy(t, second)
	old.Process.Kill()
	if err := <-old.exited; !isKilled(err) {
		t.Error(err)
	}
	for i := range 20 {
		if status, body, err := ask(successor.address, fmt.Sprint("/read/k", i)); status != 200 || body != "a" {
			t.Errorf("%d %q %v", status, body, err)
		}
	}
	successor.Process.Signal(syscall.SIGTERM)
	if log := successor.waitExit(t); !strings.Contains(log, "starting beside it") {
		t.Errorf("the failed handover is not logged:\n%s", log)
	}
}

func isKilled(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
}

// The handed-over state is JSON that a process of another build can read, with unknown keys ignored.
func TestHandoverStateIsPlainJSON(t *testing.T) {
	var h handoverState
	text := `{"known":{"index":4,"snapshot":true,"endpoints":[{"name":"a","address":"x:1","status":"DRAINING","weight":2,"since_ms":5}]},
		"maintenance":{"out":{"a":true},"back":{"b":7000000}},"more":1}`
	if err := json.Unmarshal([]byte(text), &h); err != nil || !h.Maintenance.Out["a"] || h.Maintenance.Back["b"] != 7000000 ||
		h.Known.Endpoints[0].SinceMS != 5 {
		t.Errorf("%v: %+v", err, h)
	}
}
