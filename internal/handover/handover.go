// Package handover is the protocol between two processes of one router while one replaces the other: JSON lines over a
// Unix socket, and the listening socket as a file descriptor. The state that is handed over is opaque to it.
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

// Version is the protocol version. A process of another version is refused: it starts as usual and listens beside the
// running one.
const Version = 1

// ErrRefused means that the running process does not hand over now.
var ErrRefused = errors.New("refused by the running process")

const (
	handshakeTimeout = 1500 * time.Millisecond // for the whole handshake, on either side
	orderTimeout     = 600 * time.Millisecond  // for the other process to carry out an order: operators wait a second
	maxMessageBytes  = 16 << 20                // a list of many thousand servers fits
	maxSocketPath    = 100                     // bytes: somewhat less than the system's limit for a socket path
	socketPrefix     = "handover-"
)

// message is one line of the protocol: a handshake with its version, from the running process with the state as well,
// a refusal, an order or the result of an order.
type message struct {
	Version int             `json:"version,omitempty"` // set in the handshake of either side
	State   json.RawMessage `json:"state,omitempty"`
	Refused string          `json:"refused,omitempty"`
	Order   *order          `json:"order,omitempty"`
	Done    *orderResult    `json:"done,omitempty"`
}

// order asks the other process to take a cache server out of service or to put it back.
type order struct {
	Number int    `json:"number"`
	Server string `json:"server"`
	Out    bool   `json:"out"`
}

// orderResult reports that the order of this number was carried out, or why not.
type orderResult struct {
	Number int    `json:"number"`
	Fault  string `json:"fault,omitempty"`
}

// SocketPath returns the socket path on which the process that serves clients at the listen address waits for its successor.
func SocketPath(dir, listen string) string {
	return filepath.Join(dir, socketPrefix+strings.NewReplacer(":", "_", "/", "_").Replace(listen))
}

// shortenPath returns a name for the path that is within the system's limit for socket paths. The name is valid until
// release is called.
func shortenPath(path string) (name string, release func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Listen listens for a successor at the path, replacing the socket of any earlier process.
func Listen(path string) (*net.UnixListener, error) {
	name, release, err := shortenPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	tempName := name + "." + fmt.Sprint(os.Getpid())
	os.Remove(tempName)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempName, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the path may belong to a successor by then
	if err := os.Rename(tempName, name); err != nil {
		l.Close()
		os.Remove(tempName)
		return nil, err
	}
	return l, nil
}

// Peer is the connection to the other process.
type Peer struct {
	Ended chan struct{} // closed when the connection has ended or Close was called

	conn      *net.UnixConn
	reader    *bufio.Reader
	closeOnce sync.Once

	mu        sync.Mutex
	lastOrder int
	pending   map[int]chan error
}

func newPeer(c *net.UnixConn, r *bufio.Reader) *Peer {
	return &Peer{Ended: make(chan struct{}), conn: c, reader: r, pending: map[int]chan error{}}
}

// RequestHandover requests the state and the listener of the process that listens at the path. If there is none, the error is
// os.ErrNotExist or ECONNREFUSED.
func RequestHandover(path string) (p *Peer, l net.Listener, state json.RawMessage, err error) {
	name, release, err := shortenPath(path)
	if err != nil {
		return nil, nil, nil, err
	}
	defer release()
	ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
	defer stop()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", name)
	if err != nil {
		return nil, nil, nil, err
	}
	c := conn.(*net.UnixConn)
	fdReader := &descriptorReader{UnixConn: c}
	defer func() {
		if err != nil {
			c.Close()
			fdReader.closeFile()
		}
	}()
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := writeMessage(c, message{Version: Version}); err != nil {
		return nil, nil, nil, err
	}
	r := bufio.NewReader(fdReader)
	m, err := readMessage(r)
	switch {
	case err != nil:
		return nil, nil, nil, err
	case m.Refused != "":
		return nil, nil, nil, fmt.Errorf("%w: %s", ErrRefused, m.Refused)
	case m.Version != Version || m.State == nil:
		return nil, nil, nil, fmt.Errorf("version %d is not spoken", m.Version)
	case fdReader.file == nil:
		return nil, nil, nil, errors.New("no listener received")
	}
	if l, err = net.FileListener(fdReader.file); err != nil {
		return nil, nil, nil, err
	}
	fdReader.file.Close()
	c.SetDeadline(time.Time{})
	return newPeer(c, r), l, m.State, nil
}

// AcceptHandshake reads the handshake of a successor. The caller must follow it with Refuse or SendState.
func AcceptHandshake(c *net.UnixConn) (*Peer, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	r := bufio.NewReader(c)
	m, err := readMessage(r)
	if err == nil && m.Version != Version {
		err = fmt.Errorf("version %d is not spoken", m.Version)
		writeMessage(c, message{Refused: err.Error()})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return newPeer(c, r), nil
}

// Refuse declines the handover with a reason and closes the connection.
func (p *Peer) Refuse(reason string) {
	writeMessage(p.conn, message{Refused: reason})
	p.Close()
}

// SendState sends the successor the state and the listener.
func (p *Peer) SendState(state any, l syscall.Conn) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	text, err = json.Marshal(message{Version: Version, State: text})
	if err != nil {
		return err
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	text = append(text, '\n')
	sent := 0
	if err := raw.Control(func(fd uintptr) { // Control and not File, which would make the listener blocking
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

// Run carries out the other process's orders with apply until the connection ends.
func (p *Peer) Run(apply func(server string, out bool) error) {
	defer p.Close()
	for {
		m, err := readMessage(p.reader)
		if err != nil {
			return
		}
		switch {
		case m.Order != nil:
			d := orderResult{Number: m.Order.Number}
			if err := apply(m.Order.Server, m.Order.Out); err != nil {
				d.Fault = err.Error()
			}
			p.send(message{Done: &d})
		case m.Done != nil:
			p.mu.Lock()
			c := p.pending[m.Done.Number]
			delete(p.pending, m.Done.Number)
			p.mu.Unlock()
			if c != nil && m.Done.Fault != "" {
				c <- errors.New(m.Done.Fault)
			} else if c != nil {
				c <- nil
			}
		}
	}
}

// Order makes the other process carry out an order. It returns nil if that succeeded or the other process has ended,
// and an error if it failed or took longer than orderTimeout.
func (p *Peer) Order(server string, out bool) error {
	result := make(chan error, 1)
	p.mu.Lock()
	p.lastOrder++
	number := p.lastOrder
	p.pending[number] = result
	p.mu.Unlock()
	p.send(message{Order: &order{number, server, out}})
	timer := time.NewTimer(orderTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-p.Ended:
		return nil
	case <-timer.C:
		p.mu.Lock()
		delete(p.pending, number)
		p.mu.Unlock()
		return errors.New("the other process of the replacement does not answer")
	}
}

// send writes a message and closes the connection if that fails or takes longer than orderTimeout.
func (p *Peer) send(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(orderTimeout))
	if writeMessage(p.conn, m) != nil {
		p.conn.Close() // Run then fails to read and returns
	}
}

// Close closes the connection. It may be called more than once.
func (p *Peer) Close() {
	p.closeOnce.Do(func() {
		p.conn.Close()
		close(p.Ended)
	})
}

// writeMessage writes a message as one line of JSON.
func writeMessage(c *net.UnixConn, m message) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = c.Write(append(text, '\n'))
	return err
}

// readMessage reads one line of at most about maxMessageBytes.
func readMessage(r *bufio.Reader) (m message, err error) {
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
		if len(text) > maxMessageBytes {
			return m, errors.New("message too large")
		}
	}
	return m, json.Unmarshal(text, &m)
}

// descriptorReader reads from a Unix socket and keeps the first file descriptor that arrives with the data.
type descriptorReader struct {
	*net.UnixConn
	file *os.File
}

// Read reads bytes and keeps the first descriptor received; any further descriptor is closed.
func (r *descriptorReader) Read(p []byte) (int, error) {
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

// closeFile closes the descriptor received, if any.
func (r *descriptorReader) closeFile() {
	if r.file != nil {
		r.file.Close()
	}
}
