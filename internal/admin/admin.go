// Package admin serves the operators' API: health checks, taking cache servers out for maintenance and putting them
// back, and the state that routers share. What it reports and does is given by functions.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/wire"
)

// ErrUnknownServer means that no cache server has the id in the call.
var ErrUnknownServer = errors.New("no such cache server")

// Server answers operators' calls, one per connection. Set its fields before Serve.
type Server struct {
	Healthy  func() bool                         // reports whether this process can serve
	Maintain func(server string, out bool) error // takes a cache server out of service or puts it back; ErrUnknownServer if none has the id
	Facts    func() ([]byte, error)              // the state that routers share, as this router holds it; nil: sharing is off
	Log      *slog.Logger

	mu      sync.Mutex
	pending []net.Conn // connections whose call is incomplete, oldest first
	conns   map[net.Conn]bool
	closed  bool
	wg      sync.WaitGroup
}

const (
	// MaxConns is the maximum number of open connections. When it is reached, the oldest connection without a complete
	// call is closed.
	MaxConns       = 12
	callTimeout    = 6 * time.Second        // for a complete call, unless the connection is evicted earlier
	replyTimeout   = time.Second            // for the caller to read the response
	lingerTimeout  = 100 * time.Millisecond // for the caller to close after the response
	maxLingerBytes = 64 << 10
)

// Serve accepts calls until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn("accepting an operator's call failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.admit(c) {
			c.Close()
		}
	}
}

// admit starts serving a connection. At the limit it closes the one whose call has been incomplete for longest.
// Complete calls are answered soon and are never evicted.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	if len(s.conns) >= MaxConns {
		if len(s.pending) == 0 {
			return false
		}
		s.pending[0].Close()
		delete(s.conns, s.pending[0]) // its goroutine ends when its read fails
		s.pending = s.pending[1:]
	}
	s.conns[c] = true
	s.pending = append(s.pending, c)
	s.wg.Go(func() { s.serve(c) })
	return true
}

// removePending removes a connection from those whose call is incomplete.
func (s *Server) removePending(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.pending {
		if w == c {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			return
		}
	}
}

// serve reads one call, answers it and closes the connection.
func (s *Server) serve(c net.Conn) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("an operator's call panicked", "panic", fmt.Sprint(p))
		}
		s.removePending(c)
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	c.SetDeadline(time.Now().Add(callTimeout))
	req, err := wire.ReadAdminRequest(bufio.NewReader(c))
	s.removePending(c)
	if err != nil {
		if wire.IsProtocolError(err) {
			s.reply(c, http.StatusBadRequest, err.Error())
		}
		return
	}
	status, message := s.handle(req)
	if req.Method != http.MethodGet {
		s.Log.Info("operator's call", "method", req.Method, "path", req.URL.Path, "status", status, "says", message, "caller", c.RemoteAddr())
	}
	s.reply(c, status, message)
}

// handle carries out a call and returns the status and body of its response.
func (s *Server) handle(req *http.Request) (status int, message string) {
	path := req.URL.EscapedPath()
	server, isServer := strings.CutPrefix(path, "/cache-servers/")
	switch {
	case path == "/healthcheck":
		if req.Method != http.MethodGet {
			return http.StatusMethodNotAllowed, "GET is taken here"
		}
		if !s.Healthy() {
			return http.StatusServiceUnavailable, "not serving"
		}
		return http.StatusOK, "serving"
	case path == "/facts":
		if req.Method != http.MethodGet {
			return http.StatusMethodNotAllowed, "GET is taken here"
		}
		if s.Facts == nil {
			return http.StatusNotFound, "nothing is shared: [shared] is off"
		}
		text, err := s.Facts()
		if err != nil {
			return http.StatusInternalServerError, err.Error()
		}
		return http.StatusOK, string(text)
	case isServer:
		name, order, _ := strings.Cut(server, "/")
		id, err := url.PathUnescape(name)
		if err != nil || id == "" || order != "maint" && order != "ready" {
			return http.StatusNotFound, "no such call"
		}
		if req.Method != http.MethodPut {
			return http.StatusMethodNotAllowed, "PUT is taken here"
		}
		switch err := s.Maintain(id, order == "maint"); {
		case errors.Is(err, ErrUnknownServer):
			return http.StatusNotFound, fmt.Sprintf("%v: %.80q", err, id)
		case err != nil:
			return http.StatusServiceUnavailable, err.Error()
		}
		return http.StatusOK, order
	}
	return http.StatusNotFound, "no such call"
}

// reply writes the response and waits up to lingerTimeout for the caller to close: closing with unread data would
// reset the connection and lose the response.
func (s *Server) reply(c net.Conn, status int, message string) {
	c.SetDeadline(time.Now().Add(replyTimeout))
	allow := ""
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: " + strings.Fields(message)[0] + "\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), allow, len(message)+1, message); err != nil {
		return
	}
	if halfCloser, ok := c.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c, maxLingerBytes))
	}
}

// Close closes all connections and waits for their goroutines. Close the listener first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
