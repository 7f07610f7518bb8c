// Package handover is what two processes of one router say to one another while one replaces the other: JSON lines over a
// Unix socket, and the listening socket as a descriptor. It knows nothing of what the state means.
package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Version is of the messages below. A process of another one is not replaced by handover: it is told so, and the new
// process listens beside it.
const Version = 1

// ErrRefused says that the running process does not hand over now.
var ErrRefused = errors.New("refused by the running process")

const (
	greetFor = 1500 * time.Millisecond // for the whole greeting, either way
	orderFor = 600 * time.Millisecond  // for the other process to carry out an order: operators wait a second
	maxLine  = 16 << 20                // bytes of a message: a list of many thousand servers
	mostPath = 100                     // bytes that the system takes as a socket's path, less a few
	prefix   = "handover-"
)

// line is one message; of its parts one is set.
type line struct {
	Version int             `json:"version,omitempty"` // greetings
	State   json.RawMessage `json:"state,omitempty"`
	Refused string          `json:"refused,omitempty"`
	Order   *order          `json:"order,omitempty"`
	Done    *done           `json:"done,omitempty"`
}

type order struct {
	Number int    `json:"number"`
	Server string `json:"server"`
	Out    bool   `json:"out"`
}

type done struct {
	Number int    `json:"number"`
	Fault  string `json:"fault,omitempty"`
}

// Path is where the process that listens for clients at an address waits for its successor.
func Path(dir, listen string) string {
	return filepath.Join(dir, prefix+strings.NewReplacer(":", "_", "/", "_").Replace(listen))
}

// short returns a name of the path that the system takes, however long the path is.
func short(path string) (name string, release func(), err error) {
	if len(path) <= mostPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Listen waits for a successor at the path, in the place of any process that did before.
func Listen(path string) (*net.UnixListener, error) {
	name, release, err := short(path)
	if err != nil {
		return nil, err
	}
	defer release()
	own := name + "." + fmt.Sprint(os.Getpid())
	os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the name may be a successor's by then
	if err := os.Rename(own, name); err != nil {
		l.Close()
		os.Remove(own)
		return nil, err
	}
	return l, nil
}

// Peer is the other process.
type Peer struct {
	Ended chan struct{} // closed when the other process has gone, or Close was called

	conn *net.UnixConn
	r    *bufio.Reader
	end  sync.Once

	mu      sync.Mutex
	number  int
	waiting map[int]chan error
}

func newPeer(c *net.UnixConn, r *bufio.Reader) *Peer {
	return &Peer{Ended: make(chan struct{}), conn: c, r: r, waiting: map[int]chan error{}}
}

// Take asks the process that waits at the path for its state and its listener. Without one there the error is
// os.ErrNotExist or ECONNREFUSED.
func Take(path string) (p *Peer, l net.Listener, state json.RawMessage, err error) {
	name, release, err := short(path)
	if err != nil {
		return nil, nil, nil, err
	}
	defer release()
	ctx, stop := context.WithTimeout(context.Background(), greetFor)
	defer stop()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", name)
	if err != nil {
		return nil, nil, nil, err
	}
	c := conn.(*net.UnixConn)
	in := &receiver{UnixConn: c}
	defer func() {
		if err != nil {
			c.Close()
			in.drop()
		}
	}()
	c.SetDeadline(time.Now().Add(greetFor))
	if err := write(c, line{Version: Version}); err != nil {
		return nil, nil, nil, err
	}
	r := bufio.NewReader(in)
	m, err := read(r)
	switch {
	case err != nil:
		return nil, nil, nil, err
	case m.Refused != "":
		return nil, nil, nil, fmt.Errorf("%w: %s", ErrRefused, m.Refused)
	case m.Version != Version || m.State == nil:
		return nil, nil, nil, fmt.Errorf("version %d is not spoken", m.Version)
	case in.file == nil:
		return nil, nil, nil, errors.New("no listener came")
	}
	if l, err = net.FileListener(in.file); err != nil {
		return nil, nil, nil, err
	}
	in.file.Close()
	c.SetDeadline(time.Time{})
	return newPeer(c, r), l, m.State, nil
}

// Greet hears a successor out. Refuse or Give is to follow.
func Greet(c *net.UnixConn) (*Peer, error) {
	c.SetDeadline(time.Now().Add(greetFor))
	r := bufio.NewReader(c)
	m, err := read(r)
	if err == nil && m.Version != Version {
		err = fmt.Errorf("version %d is not spoken", m.Version)
		write(c, line{Refused: err.Error()})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return newPeer(c, r), nil
}

// Refuse sends the successor away.
func (p *Peer) Refuse(why string) {
	write(p.conn, line{Refused: why})
	p.Close()
}

// Give hands the successor the state and the listener.
func (p *Peer) Give(state any, l syscall.Conn) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	text, err = json.Marshal(line{Version: Version, State: text})
	if err != nil {
		return err
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	text = append(text, '\n')
	sent := 0
	if err := raw.Control(func(fd uintptr) { // its File would make it one that blocks
		sent, _, err = p.conn.WriteMsgUnix(text, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if err == nil && sent < len(text) {
		_, err = p.conn.Write(text[sent:])
	}
	p.conn.SetDeadline(time.Time{})
	return err
}

// Run carries out the other process's orders until it has gone.
func (p *Peer) Run(carryOut func(server string, out bool) error) {
	defer p.Close()
	for {
		m, err := read(p.r)
		if err != nil {
			return
		}
		switch {
		case m.Order != nil:
			d := done{Number: m.Order.Number}
			if err := carryOut(m.Order.Server, m.Order.Out); err != nil {
				d.Fault = err.Error()
			}
			p.send(line{Done: &d})
		case m.Done != nil:
			p.mu.Lock()
			c := p.waiting[m.Done.Number]
			delete(p.waiting, m.Done.Number)
			p.mu.Unlock()
			if c != nil && m.Done.Fault != "" {
				c <- errors.New(m.Done.Fault)
			} else if c != nil {
				c <- nil
			}
		}
	}
}

// Order has the other process do what this one has been told; nil if it has, or has gone.
func (p *Peer) Order(server string, out bool) error {
	c := make(chan error, 1)
	p.mu.Lock()
	p.number++
	n := p.number
	p.waiting[n] = c
	p.mu.Unlock()
	p.send(line{Order: &order{n, server, out}})
	late := time.NewTimer(orderFor)
	defer late.Stop()
	select {
	case err := <-c:
		return err
	case <-p.Ended:
		return nil
	case <-late.C:
		p.mu.Lock()
		delete(p.waiting, n)
		p.mu.Unlock()
		return errors.New("the other process of the replacement does not answer")
	}
}

func (p *Peer) send(m line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(orderFor))
	if write(p.conn, m) != nil {
		p.conn.Close() // Run sees it
	}
}

// Close ends the connection.
func (p *Peer) Close() {
	p.end.Do(func() {
		p.conn.Close()
		close(p.Ended)
	})
}

func write(c *net.UnixConn, m line) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = c.Write(append(text, '\n'))
	return err
}

func read(r *bufio.Reader) (m line, err error) {
	var text []byte
	for {
		part, err := r.ReadSlice('\n')
		text = append(text, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return m, err
		}
		if len(text) > maxLine {
			return m, errors.New("message over the limit")
		}
	}
	return m, json.Unmarshal(text, &m)
}

// receiver reads a connection and keeps the first descriptor that comes with the bytes.
type receiver struct {
	*net.UnixConn
	file *os.File
}

func (r *receiver) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := r.ReadMsgUnix(p, oob)
	if err == nil && n == 0 && len(p) > 0 && oobn == 0 {
		return 0, net.ErrClosed
	}
	messages, _ := syscall.ParseSocketControlMessage(oob[:oobn])
	for _, m := range messages {
		fds, _ := syscall.ParseUnixRights(&m)
		for _, fd := range fds {
			if r.file != nil {
				syscall.Close(fd)
				continue
			}
			r.file = os.NewFile(uintptr(fd), "listener")
		}
	}
	return max(n, 0), err
}

func (r *receiver) drop() {
	if r.file != nil {
		r.file.Close()
	}
}
