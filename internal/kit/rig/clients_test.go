package rig

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
)

// TestTimeLeft guards against a client that announces more time than it has left: on a busy machine a request went out up to 111 ms
// after its timeout had started but announced the whole timeout, and the router's answer, in time by that, counted against the router.
func TestTimeLeft(t *testing.T) {
	set, err := scenario.Parse("time left", []byte(`
name = "time left"
base = "calm"
`))
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(&Rig{scenario: set})
	try := &model.Try{Request: &model.Request{}, StartedAt: 6 * time.Second, Timeout: 1625 * time.Millisecond}
	for at, want := range map[time.Duration]string{
		0:                       "1625m",
		111 * time.Millisecond:  "1514m",
		1624 * time.Millisecond: "1m",
		2 * time.Second:         "1m",
	} {
		if text := c.request(try, try.StartedAt+at); !strings.Contains(text, "\r\nX-Time-Left: "+want+"\r\n") {
			t.Errorf("sent after %v it does not tell %s: %q", at, want, text)
		}
	}
}

// TestCanceledBeforeSent guards against a client that sends after it has given up: on a busy machine the connection took 175 ms of a timeout
// of 125 ms, and a request that no router had seen by then counted against the router, as did the answer to it.
func TestCanceledBeforeSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	read := make(chan int, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			text, _ := io.ReadAll(conn)
			read <- len(text)
			conn.Close()
		}
	}()
	c := newClients(testRig(t))
	for name, v := range map[string]struct {
		progress progress
		want     ledger.Outcome
	}{
		"nothing was sent":    {progress{}, ledger.NotConnected},
		"it was sent once":    {progress{sent: true}, ledger.NoAnswer},
		"its connection came": {progress{sent: true, conn: &clientConn{Conn: closed{}}}, ledger.NoAnswer},
	} {
		try := &model.Try{Request: &model.Request{}, Timeout: time.Second}
		c.inFlight[try] = &v.progress
		if sent := c.cancel(try); sent != v.progress.sent {
			t.Errorf("%s: leave says %v", name, sent)
		}
		if a := c.try(try, listener.Addr().String()); a.Outcome != v.want {
			t.Errorf("%s: it ends with %v, want %v", name, a.Outcome, v.want)
		}
		if n := <-read; n > 0 {
			t.Errorf("%s: %d bytes were sent after the client had left", name, n)
		}
	}
	try := &model.Try{Request: &model.Request{}}
	c.inFlight[try] = &progress{}
	if a := c.canceledAnswer(try, synRetransmitDelay); a.Outcome != ledger.NoAnswer {
		t.Errorf("a connection that nobody took for %v: %v", synRetransmitDelay, a.Outcome)
	}
}

// closed is a connection that only supports Close.
type closed struct{ net.Conn }

func (closed) Close() error { return nil }
