package rig

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/standin"
)

// testRig returns a rig without routers whose model runs on its own goroutine.
func testRig(t *testing.T) *Rig {
	t.Helper()
	s, err := scenario.Find("calm", "warm_up=0s", "rate=0.1")
	if err != nil {
		t.Fatal(err)
	}
	r := &Rig{scenario: s, host: "127.0.0.1", routersHost: "127.0.0.2", inbox: make(chan task, 100), start: time.Now()}
	r.ctx, r.cancel = context.WithCancel(t.Context())
	r.world = model.New(s, 1, r)
	r.background(func() {
		for {
			select {
			case p := <-r.inbox:
				p.run()
			case <-r.ctx.Done():
				return
			}
		}
	})
	t.Cleanup(func() {
		r.cancel()
		r.wg.Wait()
	})
	return r
}

// TestSilence checks that a silent node neither answers on open connections nor accepts new ones, and that after the silence open
// connections are reset and new ones are served.
func TestSilence(t *testing.T) {
	r := testRig(t)
	p, err := newPort(r, r.world.Nodes[0], 0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	ask := func(c net.Conn, patience time.Duration) error {
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := net.DialTimeout("tcp", p.address, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for round := range 4 {
		open := dial()
		if err := ask(open, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		crowd := make(chan net.Conn, 16)         // connections that arrive as the silence starts
		for range cap(crowd) / 2 * (round % 2) { // none in even rounds: the first later one must fail too
			go func() {
				c, _ := net.DialTimeout("tcp", p.address, 100*time.Millisecond)
				crowd <- c
			}()
		}
		p.setSilent(true)
		for range cap(crowd) / 2 * (round % 2) {
			if c := <-crowd; c != nil {
				defer c.Close()
			}
		}
		standin.Eventually(t, "the queue is full of the rig's own", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.fillers) == backlogCapacity()
		})
		for range 8 {
			if c, err := net.DialTimeout("tcp", p.address, 50*time.Millisecond); err == nil {
				t.Errorf("round %d: a connection came up to a silent node", round)
				c.Close()
			}
		}
		if err := ask(open, 50*time.Millisecond); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: a silent node says %v", round, err)
		}
		p.setSilent(false)
		if err := ask(open, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: back, and what was open goes on: %v", round, err)
		}
		c := dial()
		if err := ask(c, 5*time.Second); err != nil {
			t.Errorf("round %d: back: %v", round, err)
		}
		c.Close()
		open.Close()
	}
}
