package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// kind is a kind of request.
type kind struct {
	name, class, shelf string
	method             string
	shared             int  // paths that clients share, for requests that are gathered; 0: each has its own
	once               bool // it may run once
	copies             bool // what was begun may be finished
	only               bool // its route is in every other configuration alone
	open               bool // its route asks for no key
}

var kinds = []kind{
	{name: "again", class: "resendable", shelf: "0ms", method: "GET"},
	{name: "open", class: "resendable", shelf: "0ms", method: "GET", open: true},
	{name: "comes", class: "resendable", shelf: "0ms", method: "GET", only: true},
	{name: "once", class: "once_only", shelf: "0ms", method: "POST", once: true},
	{name: "gathered", class: "shelved", shelf: "0ms", method: "GET", shared: 1 << 20},
	{name: "copied", class: "shelved", shelf: "300ms", method: "GET", shared: 40, copies: true},
}

// manner is what a client does once its request is out.
type manner int

const (
	stays manner = iota
	closes
	resets
	closesEarly // after it has sent the next request
	halfCloses  // and waits
	leavesMidway
	manners
)

var mannerNames = [manners]string{"stays", "closes", "resets", "sends early and closes", "half-closes", "leaves midway"}

const (
	dialWithin   = time.Second
	timeLeft     = 3 * time.Second
	answerWithin = timeLeft + 4*time.Second // pauses of its proxy are no time of the proxy's: see checkAnswers
	mostWait     = 400 * time.Millisecond   // before a client leaves
	groupOf      = 3                        // clients that ask for one gathered path
)

// client asks again and again until the context ends.
func (d *day) client(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(d.Seed, uint64(1000+n)))
	for turn := 0; ctx.Err() == nil; turn++ {
		k := kinds[rng.IntN(len(kinds))]
		path := fmt.Sprintf("/%s/%d-%d", k.name, n, turn)
		switch {
		case k.copies:
			path = fmt.Sprintf("/%s/%d", k.name, rng.IntN(k.shared))
		case k.shared > 0: // neighbours ask for the same at about the same time
			path = fmt.Sprintf("/%s/%d-%d", k.name, n/groupOf, time.Since(d.start)/(500*time.Millisecond))
		}
		edges := d.net.EdgeMachines()
		edge := edges[rng.IntN(len(edges))]
		a := &ask{id: fmt.Sprintf("%d-%d-%d", d.Seed, n, turn), path: path, kind: k, edge: edge.Name, manner: manner(rng.IntN(int(manners))),
			wait: 5*time.Millisecond + time.Duration(rng.Int64N(int64(mostWait))), key: d.drawKey(rng)}
		a.live = d.operators.history.newest().keys[a.key] != ""
		if rng.Float64() < forgedPart {
			a.forged = forgedSender
		}
		d.ask(ctx, a, edge.Client())
		sleep(ctx, time.Duration(rng.Int64N(int64(50*time.Millisecond))))
	}
}

// ask sends one request and does what its manner says.
func (d *day) ask(ctx context.Context, a *ask, address string) {
	dialled, err := net.DialTimeout("tcp", address, dialWithin)
	if err != nil {
		sleep(ctx, 50*time.Millisecond)
		return
	}
	c := dialled.(*net.TCPConn)
	defer c.Close()
	d.book.asked(a)
	defer d.book.over(a)
	whole, body := a.request(), a.bodyLength()
	if a.manner == leavesMidway && body > 0 {
		c.Write(whole[:len(whole)-body/2])
		sleep(ctx, a.wait)
		return
	}
	if _, err := c.Write(whole); err != nil {
		return
	}
	switch a.manner {
	case closesEarly:
		next := d.book.follows(a)
		c.Write(next.request())
	case halfCloses:
		c.CloseWrite()
	}
	if a.meansToLeave() {
		c.SetReadDeadline(time.Now().Add(a.wait))
		if status, _ := finalStatus(bufio.NewReader(c)); status != 0 { // answered before it meant to leave
			a.status = status
			return
		}
		if a.manner == resets {
			c.SetLinger(0)
		}
		d.book.left(a)
		return
	}
	c.SetReadDeadline(time.Now().Add(answerWithin))
	a.status, a.unstamped = finalStatus(bufio.NewReader(c))
}

// finalStatus reads the status of the answer that is no interim one, 0 if none comes, and whether it is a success that no server gave.
func finalStatus(r *bufio.Reader) (status int, unstamped bool) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, false
		}
		if resp.StatusCode >= 200 {
			resp.Body.Close()
			return resp.StatusCode, isUnstamped(resp)
		}
	}
}

// isUnstamped tells whether an answer is a success that no server gave.
func isUnstamped(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && resp.Header.Get("Postmark") == ""
}

// onceBody is the length of the bodies of requests that may run once.
const onceBody = 4000

func (a *ask) bodyLength() int {
	if a.kind.once {
		return onceBody
	}
	return 0
}

// request writes the request out.
func (a *ask) request() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTry-Id: %s\r\nTime-Left: %d\r\n", a.kind.method, a.path, a.id, timeLeft.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "Key: %s\r\n", a.key)
	}
	if a.forged != "" {
		fmt.Fprintf(&b, "Sender: %s\r\n", a.forged)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", a.bodyLength())
	b.Write(make([]byte, a.bodyLength()))
	return b.Bytes()
}
