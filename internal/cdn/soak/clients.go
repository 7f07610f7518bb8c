package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"cedarmast/internal/boundedhttp"
)

// requestKind describes a kind of request and its route.
type requestKind struct {
	name, class     string
	method          string
	shared          int  // number of paths that clients share, so that their requests are coalesced; 0: each request has its own path
	onceOnly        bool // it may run at most once
	cached          bool // its answers are cached; a fetch that has started may be finished
	oddEditionsOnly bool // its route exists only in configurations with an odd edition
	public          bool // its route requires no key
}

var requestKinds = []requestKind{
	{name: "again", class: "resendable", method: "GET"},
	{name: "open", class: "resendable", method: "GET", public: true},
	{name: "comes", class: "resendable", method: "GET", oddEditionsOnly: true},
	{name: "once", class: "once_only", method: "POST", onceOnly: true},
	{name: "gathered", class: "shelved", method: "GET", shared: 1 << 20},
	{name: "copied", class: "shelved", method: "GET", shared: 40, cached: true},
}

// clientBehavior is what a client does after it has sent its request.
type clientBehavior int

const (
	waitsForAnswer clientBehavior = iota
	closesConnection
	resetsConnection
	closesAfterPipelining // closes after it has sent the next request
	halfCloses            // closes its sending side and waits
	abandonsUpload
	behaviorCount
)

var behaviorNames = [behaviorCount]string{"stays", "closes", "resets", "pipelines and closes", "half-closes", "leaves during upload"}

const (
	dialTimeout          = time.Second
	requestTimeout       = 3 * time.Second
	answerTimeout        = requestTimeout + 4*time.Second // pauses of its proxy do not count: see checkAnswers
	maxAbandonDelay      = 400 * time.Millisecond         // before a client leaves, after a minimum of 5 ms
	clientsPerSharedPath = 3                              // clients that request one coalesced path at a time
)

// runClient sends requests as client number n, each over its own connection, until the context ends.
func (s *soakRun) runClient(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(1000+n)))
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := requestKinds[rng.IntN(len(requestKinds))]
		path := fmt.Sprintf("/%s/%d-%d", kind.name, n, turn)
		switch {
		case kind.cached:
			path = fmt.Sprintf("/%s/%d", kind.name, rng.IntN(kind.shared))
		case kind.shared > 0: // neighbouring clients request the same path at about the same time
			path = fmt.Sprintf("/%s/%d-%d", kind.name, n/clientsPerSharedPath, time.Since(s.start)/(500*time.Millisecond))
		}
		edges := s.net.EdgeMachines()
		edge := edges[rng.IntN(len(edges))]
		req := &request{id: fmt.Sprintf("%d-%d-%d", s.Seed, n, turn), path: path, kind: kind, edge: edge.Name, behavior: clientBehavior(rng.IntN(int(behaviorCount))),
			abandonAfter: 5*time.Millisecond + time.Duration(rng.Int64N(int64(maxAbandonDelay))), key: s.drawKey(rng)}
		req.keyLive = s.operators.history.newest().keys[req.key] != ""
		if rng.Float64() < forgedTenantFraction {
			req.forgedTenant = forgedTenantName
		}
		s.sendRequest(ctx, req, edge.ClientAddress())
		sleep(ctx, time.Duration(rng.Int64N(int64(50*time.Millisecond))))
	}
}

// sendRequest sends one request over a new connection and then acts as its behavior says.
func (s *soakRun) sendRequest(ctx context.Context, req *request, address string) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		sleep(ctx, 50*time.Millisecond)
		return
	}
	tcpConn := conn.(*net.TCPConn)
	defer tcpConn.Close()
	s.recorder.requestStarted(req)
	defer s.recorder.requestEnded(req)
	encoded, body := req.encode(), req.bodyLength()
	if req.behavior == abandonsUpload && body > 0 {
		tcpConn.Write(encoded[:len(encoded)-body/2])
		sleep(ctx, req.abandonAfter)
		return
	}
	if _, err := tcpConn.Write(encoded); err != nil {
		return
	}
	switch req.behavior {
	case closesAfterPipelining:
		next := s.recorder.pipelinedRequest(req)
		tcpConn.Write(next.encode())
	case halfCloses:
		tcpConn.CloseWrite()
	}
	if req.willAbandon() {
		tcpConn.SetReadDeadline(time.Now().Add(req.abandonAfter))
		if req.readAnswer(boundedhttp.NewReader(tcpConn, answerLimits)); req.status != 0 { // answered before the client meant to leave
			return
		}
		if req.behavior == resetsConnection {
			tcpConn.SetLinger(0)
		}
		s.recorder.requestAbandoned(req)
		return
	}
	tcpConn.SetReadDeadline(time.Now().Add(answerTimeout))
	req.readAnswer(boundedhttp.NewReader(tcpConn, answerLimits))
}

// answerLimits bound the answers of proxies.
var answerLimits = boundedhttp.Limits{HeadBytes: 16 << 10, HeadLines: 256, InterimResponses: 8, BodyBytes: 64 << 20}

// readAnswer reads one complete answer, skipping interim ones, and records it. closed means that the connection ends with it.
func (req *request) readAnswer(r *boundedhttp.Reader) (closed bool, err error) {
	defer func() { req.gaveUp = errors.Is(err, os.ErrDeadlineExceeded) }()
	resp, err := r.Response(req.method(), boundedhttp.Uncharged{})
	if err != nil {
		return true, err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return true, err
	}
	req.status, req.objectVersion = resp.StatusCode, objectVersion(resp)
	req.missingPostmark = resp.StatusCode == http.StatusOK && resp.Header.Get("Postmark") == ""
	return resp.Close, nil
}

// encode returns the request in wire format, with its body.
func (req *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTry-Id: %s\r\nTime-Left: %d\r\n", req.method(), req.path, req.id, requestTimeout.Milliseconds())
	if req.key != "" {
		fmt.Fprintf(&b, "Key: %s\r\n", req.key)
	}
	if req.forgedTenant != "" {
		fmt.Fprintf(&b, "Sender: %s\r\n", req.forgedTenant)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", req.bodyLength())
	b.Write(requestBody(req.id, req.bodyLength()))
	return b.Bytes()
}
