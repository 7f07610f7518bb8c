package localnet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in server: it serves versioned objects, sends heartbeats to the registry and counts the requests it ran by id.
type Server struct {
	ID, Service, Address, Zone string

	network        *Network
	http           *http.Server
	mu             sync.Mutex
	version        int
	state          string
	heartbeats     uint64
	ran            map[string]int
	stopHeartbeats context.CancelFunc
	Acked          chan struct{} // receives a value for each acknowledged heartbeat if a receiver is waiting
}

// Serve starts a stand-in server of a service at the address 127.0.Net.host.
func (n *Network) Serve(id, service string, host byte) (*Server, error) {
	return n.ServeWith(id, service, host, nil)
}

// ServeWith starts a stand-in server at 127.0.Net.host whose requests the handler serves; nil: the server itself.
func (n *Network) ServeWith(id, service string, host byte, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", n.Subnet, host))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{ID: id, Service: service, Address: l.Addr().String(), Zone: "zone-1", network: n, version: 1, state: "open", ran: map[string]int{}, stopHeartbeats: stop,
		Acked: make(chan struct{})}
	if handler == nil {
		handler = s
	}
	s.http = &http.Server{Handler: handler, ConnContext: withSmallBuffer}
	go s.http.Serve(l)
	go s.sendHeartbeats(ctx)
	n.mu.Lock()
	n.servers = append(n.servers, s)
	n.mu.Unlock()
	return s, nil
}

// receiveBufferBytes is the receive buffer of a stand-in server's connection: the writer of a long body waits for its reader.
const receiveBufferBytes = 64 << 10

// withSmallBuffer sets the receive buffer of a connection.
func withSmallBuffer(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*net.TCPConn); ok {
		conn.SetReadBuffer(receiveBufferBytes)
	}
	return ctx
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Try-Id")
	if id != "" {
		w.Header().Set("Try-Id", id)
	}
	if want := r.Header.Get("Addressee"); want != "" && want != s.ID {
		w.Header().Set("Server-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.ran[id]++
	tag := fmt.Sprintf(`"%d"`, s.version)
	w.Header().Set("Postmark", s.ID+"."+id)
	w.Header().Set("Etag", tag)
	w.Header().Set("Labels", "all")
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	fmt.Fprintf(w, "%s %s version %d of %s\n", r.Method, r.URL.Path, s.version, s.Service)
}

// UpdateObjects replaces all objects with a newer version.
func (s *Server) UpdateObjects() {
	s.mu.Lock()
	s.version++
	s.mu.Unlock()
}

// RunCounts returns how many requests it ran in total, and the maximum for one id.
func (s *Server) RunCounts() (total, maxPerID int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, count := range s.ran {
		total, maxPerID = total+count, max(maxPerID, count)
	}
	return total, maxPerID
}

// Drain reports the state closing in all further heartbeats.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "closing"
	s.mu.Unlock()
}

// StopHeartbeats stops its heartbeats; it still accepts requests.
func (s *Server) StopHeartbeats() { s.stopHeartbeats() }

// Stop stops its heartbeats and closes its connections, without telling the registry.
func (s *Server) Stop() {
	s.stopHeartbeats()
	s.http.Close()
}

// sendHeartbeats sends the server's state through the control API every heartbeatInterval until the context ends.
func (s *Server) sendHeartbeats(ctx context.Context) {
	for {
		s.mu.Lock()
		s.heartbeats++
		body, _ := json.Marshal(map[string]any{"id": s.ID, "carrier": s.Service, "address": s.Address, "zone": s.Zone, "edition": "v1", "berths": 8,
			"state": s.state, "warmup": "0ms", "postmark": s.heartbeats})
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		status, _, err := s.network.Control(callCtx, http.MethodPut, "/servers/"+s.ID, body)
		cancel()
		if err == nil && status == http.StatusOK {
			select {
			case s.Acked <- struct{}{}:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
