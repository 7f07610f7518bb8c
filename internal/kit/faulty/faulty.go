// Package faulty provides small routers that each break one rule on purpose, and one that breaks none. The rehearsal kit uses
// them to verify that its ledger detects each breach. None of them is meant for production.
package faulty

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/boundedhttp"
)

// Kinds are the faults and the rule that each breaks; "none" breaks nothing.
var Kinds = []struct{ Name, Breaks string }{
	{"none", ""},
	{"loses", "lost"},
	{"answers-twice", "lost"},
	{"serves-anothers-bytes", "lost"},
	{"resends", "effect"},
	{"refuses-what-ran", "effect"},
	{"ignores-drains", "drain"},
	{"floods-cold", "cold"},
	{"holds-back", "held"},
}

// faultRate is the share of the requests that a fault affects, for faults that don't affect all.
const faultRate = 0.1

// node is a node as discovery lists it.
type node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Status  string `json:"status"`
	Since   int64  `json:"since_ms"`
}

// list is an answer of discovery: all nodes if Snapshot is set, else the changes.
type list struct {
	Index     int64  `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []node `json:"endpoints"`
}

// router is a router with one fault.
type router struct {
	kind      string
	discovery string

	mu       sync.Mutex
	nodes    map[string]node
	lastBody string // a body that was served before
	active   sync.WaitGroup
}

// Main runs a faulty router with the configuration file that $GW_CONFIG names, until SIGTERM.
func Main(kind string, getenv func(string) string, stderr io.Writer) int {
	signal.Ignore(syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGPIPE)
	text, err := os.ReadFile(getenv("GW_CONFIG"))
	if err != nil {
		fmt.Fprintln(stderr, "faulty:", err)
		return 2
	}
	var c struct {
		Listen, Discovery string
		Known             list
	}
	if err := json.Unmarshal(text, &c); err != nil {
		fmt.Fprintln(stderr, "faulty:", err)
		return 2
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		fmt.Fprintln(stderr, "faulty:", err)
		return 1
	}
	r := &router{kind: kind, discovery: c.Discovery, nodes: map[string]node{}}
	r.applyList(c.Known)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go r.watch(ctx, c.Known.Index)
	go func() {
		<-ctx.Done()
		l.Close()
	}()
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		go r.serve(ctx, conn)
	}
	r.active.Wait()
	return 0
}

// applyList updates the known nodes from a snapshot or a list of changes.
func (r *router) applyList(l list) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Snapshot {
		clear(r.nodes)
	}
	for _, n := range l.Endpoints {
		if n.Status == "SERVING" {
			r.nodes[n.Name] = n
		} else if r.kind != "ignores-drains" {
			delete(r.nodes, n.Name)
		}
	}
}

// nodeLimits bound the answers of nodes and of discovery.
var nodeLimits = boundedhttp.Limits{HeadBytes: 16 << 10, HeadLines: 256, InterimResponses: 8, BodyBytes: 128 << 20}

// watch polls discovery for changes of the node list.
func (r *router) watch(ctx context.Context, index int64) {
	client := boundedhttp.NewClient(0, true)
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/registry/instances?index=%d&wait=2000", r.discovery, index), nil)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var l list
		text, err := boundedhttp.ReadBody(resp.Body, resp.ContentLength, nodeLimits.BodyBytes, boundedhttp.Uncharged{})
		if err == nil {
			err = json.Unmarshal(text, &l)
		}
		resp.Body.Close()
		if err == nil {
			index = l.Index
			r.applyList(l)
		}
	}
}

// nodeOrder draws the order in which nodes are tried. A node that has just started usually comes last.
func (r *router) nodeOrder() []node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, cold []node
	for _, n := range r.nodes {
		if time.Since(time.UnixMilli(n.Since)) < 5*time.Second && rand.Float64() < 0.8 {
			cold = append(cold, n)
		} else {
			all = append(all, n)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = append(all, cold...)
	if r.kind == "floods-cold" {
		for i, n := range all {
			if n.Since > all[0].Since {
				all[0], all[i] = all[i], all[0]
			}
		}
	}
	return all
}

// serve answers the requests of one connection.
func (r *router) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for ctx.Err() == nil {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, "/health/") {
			io.WriteString(c, answer(200, "", "ready\n"))
			continue
		}
		r.active.Add(1)
		ok := r.handle(c, req, body)
		r.active.Done()
		if !ok {
			return
		}
	}
}

// answer formats an HTTP response; lines are additional header lines, each with its line end.
func answer(status int, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body)
}

// handle answers a request; false closes its connection.
func (r *router) handle(c net.Conn, req *http.Request, body []byte) bool {
	started := time.Now()
	timeLeftMS, _ := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Time-Left"), "m"))
	deadline := started.Add(time.Duration(timeLeftMS) * time.Millisecond)
	faulted := rand.Float64() < faultRate
	if r.kind == "loses" && faulted {
		return false
	}
	ran, text := false, ""
	for _, n := range r.nodeOrder() {
		status, got, sent := forward(n.Address, req, body, deadline)
		if status == 200 {
			text = got
			if r.kind == "resends" && req.Method == "PUT" {
				forward(n.Address, req, body, deadline)
			}
			break
		}
		if ran = ran || sent && status != 503; ran {
			break // never resend what may have run
		}
	}
	switch {
	case text == "" && !ran || r.kind == "refuses-what-ran" && req.Method == "PUT" && faulted:
		if r.kind == "holds-back" {
			time.Sleep(time.Until(deadline) * 9 / 10)
		}
		_, err := io.WriteString(c, answer(503, "Retry-After: 0.2\r\n", ""))
		return err == nil
	case text == "":
		_, err := io.WriteString(c, answer(502, "", ""))
		return err == nil
	}
	r.mu.Lock()
	other := r.lastBody
	r.lastBody = text
	r.mu.Unlock()
	if r.kind == "serves-anothers-bytes" && faulted && other != "" {
		text = other
	}
	out := answer(200, "", text)
	if r.kind == "answers-twice" && faulted {
		out += out
	}
	_, err := io.WriteString(c, out)
	return err == nil
}

// forward sends a request to a node on a new connection; sent reports whether its last byte was written.
func forward(address string, req *http.Request, body []byte, deadline time.Time) (status int, text string, sent bool) {
	c, err := net.DialTimeout("tcp", address, 250*time.Millisecond)
	if err != nil {
		return 0, "", false
	}
	defer c.Close()
	c.SetDeadline(deadline.Add(-10 * time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: node\r\nX-Time-Left: %dm\r\nContent-Length: %d\r\n", req.Method, req.RequestURI,
		max(time.Until(deadline).Milliseconds(), 1), len(body))
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "Idempotency-Key"} {
		if v := req.Header.Get(name); v != "" {
			head += name + ": " + v + "\r\n"
		}
	}
	if _, err := io.WriteString(c, head+"\r\n"+string(body)); err != nil {
		return 0, "", !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET)
	}
	reader := boundedhttp.NewReader(c, nodeLimits)
	resp, err := reader.Response(req.Method, boundedhttp.Uncharged{})
	if err != nil {
		return 0, "", true
	}
	got, err := reader.Body(resp, req.Method, boundedhttp.Uncharged{})
	if err != nil {
		return 0, "", true
	}
	return resp.StatusCode, string(got), true
}
