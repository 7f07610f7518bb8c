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
func handOver(t *testing.T, path string) (old, young *Peer, l net.Listener) {
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
		p, err := Greet(c)
		if err == nil {
			err = p.Give(map[string]string{"is": strings.Repeat("long ", 100_000)}, first.(syscall.Conn))
		}
		if err != nil {
			t.Error(err)
		}
		given <- p
	}()
	young, l, state, err := Take(path)
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
	return <-given, young, l
}

// The state comes whole, and the listener is the same one: what connects while nobody accepts and the old process closes
// is accepted by the new one. With a listener each it would be reset.
func TestListenerIsPassedOn(t *testing.T) {
	old, young, l := handOver(t, filepath.Join(t.TempDir(), "h"))
	defer young.Close()
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

// Orders go both ways, also at once, and a fault comes back. The end of either process ends the other's waiting.
func TestOrdersGoBothWays(t *testing.T) {
	old, young, _ := handOver(t, filepath.Join(t.TempDir(), "h"))
	heard := make(chan string, 10)
	carry := func(server string, out bool) error {
		heard <- server
		if server == "bad" {
			return errors.New("refused")
		}
		return nil
	}
	go old.Run(carry)
	go young.Run(carry)
	other := make(chan error, 1)
	go func() { other <- young.Order("b", false) }()
	if err := old.Order("a", true); err != nil {
		t.Error(err)
	}
	if err := <-other; err != nil {
		t.Error(err)
	}
	if err := old.Order("bad", true); err == nil || err.Error() != "refused" {
		t.Errorf("a fault came back as %v", err)
	}
	if len(heard) != 3 {
		t.Errorf("%d orders were heard", len(heard))
	}
	young.Close()
	<-old.Ended
	if err := old.Order("c", true); err != nil {
		t.Errorf("an order to a process that has gone: %v", err)
	}
}

// A process that has stopped answering holds an order up for less than operators wait, and the answer is no yes.
func TestOrderToAHungProcess(t *testing.T) {
	old, young, _ := handOver(t, filepath.Join(t.TempDir(), "h"))
	defer young.Close()
	go old.Run(func(string, bool) error { return nil })
	begun := time.Now()
	if err := old.Order("a", true); err == nil || time.Since(begun) > 900*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
}

// Who is not there, who does not speak, who speaks another version, who refuses: each is told apart, in bounded time.
func TestFailedHandover(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	if _, _, _, err := Take(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody there: %v", err)
	}
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if _, _, _, err := Take(path); err == nil || time.Since(begun) > 2*handshakeTimeout {
		t.Errorf("a silent process: %v after %v", err, time.Since(begun))
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
		if _, _, _, err := Take(path); err == nil || errors.Is(err, ErrRefused) {
			t.Errorf("after %q: %v", says, err)
		}
	}
	go func() {
		if c, err := l.AcceptUnix(); err == nil {
			if p, err := Greet(c); err == nil {
				p.Refuse("busy")
			}
		}
	}()
	if _, _, _, err := Take(path); !errors.Is(err, ErrRefused) {
		t.Errorf("refused: %v", err)
	}
	l.Close()
	if _, _, _, err := Take(path); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a process that has died: %v", err)
	}
}

// A path longer than the system takes works as any, and a later process takes the earlier one's place.
func TestLongPathAndRepeatedHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := Path(dir, "127.0.0.1:8081")
	for range 2 {
		old, young, _ := handOver(t, path)
		old.Close()
		young.Close()
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("left behind: %v", all)
	}
}
