package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// handOver hands a listener over and returns both ends.
func handOver(t *testing.T, path string) (old, successor *Peer, l net.Listener) {
	t.Helper()
	wait, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { wait.Close() })
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
	given := make(chan *Peer, 1)
	go func() {
		c, err := wait.AcceptUnix()
		if err != nil {
			return
		}
		p, err := AcceptHandshake(c)
		if err == nil {
			err = p.SendState(map[string]string{"is": strings.Repeat("long ", 100_000)}, first.(syscall.Conn))
		}
		if err != nil {
			t.Error(err)
		}
		given <- p
	}()
	successor, l, state, err := RequestHandover(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if len(state) < 500_000 {
		t.Errorf("%d bytes of state", len(state))
	}
	if l.Addr().String() != first.Addr().String() {
		t.Errorf("listens at %v, not %v", l.Addr(), first.Addr())
	}
	return <-given, successor, l
}

// The whole state arrives, and the listener is the same socket: a client that connects while neither process accepts,
// and the old one closes, is accepted by the new one. With a listener for each process its connection would be reset.
func TestListenerIsPassedOn(t *testing.T) {
	old, successor, l := handOver(t, filepath.Join(t.TempDir(), "h"))
	defer successor.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	old.Close()
	got, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the client reads %v", err)
	}
}

// Orders go both ways, also at the same time, and errors are returned. The end of either process ends the other's
// wait.
func TestOrdersGoBothWays(t *testing.T) {
	old, successor, _ := handOver(t, filepath.Join(t.TempDir(), "h"))
	received := make(chan string, 10)
	apply := func(server string, out bool) error {
		received <- server
		if server == "bad" {
			return errors.New("refused")
		}
		return nil
	}
	go old.Run(apply)
	go successor.Run(apply)
	other := make(chan error, 1)
	go func() { other <- successor.Order("b", false) }()
	if err := old.Order("a", true); err != nil {
		t.Error(err)
	}
	if err := <-other; err != nil {
		t.Error(err)
	}
	if err := old.Order("bad", true); err == nil || err.Error() != "refused" {
		t.Errorf("the error came back as %v", err)
	}
	if len(received) != 3 {
		t.Errorf("%d orders were received", len(received))
	}
	successor.Close()
	<-old.Ended
	if err := old.Order("c", true); err != nil {
		t.Errorf("an order to a process that has ended: %v", err)
	}
}

// An order to a hung process fails sooner than operators time out.
func TestOrderToAHungProcess(t *testing.T) {
	old, successor, _ := handOver(t, filepath.Join(t.TempDir(), "h"))
	defer successor.Close()
	go old.Run(func(string, bool) error { return nil })
	started := time.Now()
	if err := old.Order("a", true); err == nil || time.Since(started) > 900*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(started))
	}
}

// Each reason for a failed handover gives its own error in bounded time: no process, a silent one, another version, a
// refusal, a dead process.
func TestFailedHandover(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	if _, _, _, err := RequestHandover(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no process: %v", err)
	}
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if _, _, _, err := RequestHandover(path); err == nil || time.Since(started) > 2*handshakeTimeout {
		t.Errorf("a silent process: %v after %v", err, time.Since(started))
	}
	if c, err := l.AcceptUnix(); err != nil {
		t.Fatal(err)
	} else {
		c.Close()
	}
	for _, says := range []string{`{"version":99,"state":{}}`, `{"version":1,"state":{}}`, `nonsense`, ``} {
		go func() {
			if c, err := l.AcceptUnix(); err == nil {
				io.WriteString(c, says+"\n")
				c.Close()
			}
		}()
		if _, _, _, err := RequestHandover(path); err == nil || errors.Is(err, ErrRefused) {
			t.Errorf("after %q: %v", says, err)
		}
	}
	go func() {
		if c, err := l.AcceptUnix(); err == nil {
			if p, err := AcceptHandshake(c); err == nil {
				p.Refuse("busy")
			}
		}
	}()
	if _, _, _, err := RequestHandover(path); !errors.Is(err, ErrRefused) {
		t.Errorf("refused: %v", err)
	}
	l.Close()
	if _, _, _, err := RequestHandover(path); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a process that has died: %v", err)
	}
}

// A path over the system's limit for socket paths works, and a later process replaces the socket of an earlier one.
func TestLongPathAndRepeatedHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := SocketPath(dir, "127.0.0.1:8081")
	for range 2 {
		old, successor, _ := handOver(t, path)
		old.Close()
		successor.Close()
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("left behind: %v", all)
	}
}
