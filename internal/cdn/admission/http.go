package admission

import (
	"net"
	"net/http"
	"time"
)

const (
	httpConnectionBytes    = 24 << 10               // goroutine, buffers and short head of a connection
	messageConnectionBytes = 32 << 10               // of a connection between processes
	minIdleHTTP            = 500 * time.Millisecond // a client that sends its first request has this long
	minIdleMessages        = 5 * time.Second        // processes that are connected ask for news far more often
	writeTimeout           = 30 * time.Second       // for an answer, beside the time for its bytes
	slowestReader          = 64 << 10               // bytes per second
	restTimeout            = time.Second            // for the rest of a body that is not read
	pressedWriteTimeout    = 5 * time.Second        // for an answer that has no room beside others that nobody reads
)

// refusal is the answer to a request whose connection or head has no room.
var refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// Guard bounds the connections of an HTTP server, and the heads that they bring. The server must serve the returned listener, or one that
// wraps its connections in types with a method NetConn.
func (m *Memory) Guard(server *http.Server, l net.Listener, maxConnections int) net.Listener {
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		m.track(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return &headListener{NewListener(l, Limits{Connections: maxConnections, ConnectionBytes: httpConnectionBytes, Budget: m.Connections,
		MinIdle: minIdleHTTP, Refusal: refusal}), m.Heads}
}

// headListener accepts connections whose heads are charged.
type headListener struct {
	*Listener
	heads *Budget
}

// Accept returns the next connection that has room.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := c.(*Conn)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.headBudget = l.heads
	return conn, nil
}

// track follows a connection's requests, as http.Server's ConnState: active means that a head has been read, idle that the request has
// been answered.
func (m *Memory) track(c net.Conn, state http.ConnState) {
	admitted := admittedConn(c)
	if admitted == nil {
		return
	}
	switch state {
	case http.StateActive:
		admitted.headRead()
	case http.StateIdle:
		admitted.requestEnded()
	}
}

// admittedConn returns the admitted connection that c wraps, or nil.
func admittedConn(c net.Conn) *Conn {
	for c != nil {
		if admitted, ok := c.(*Conn); ok {
			return admitted
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// GuardMessages bounds the connections between processes.
func (m *Memory) GuardMessages(l net.Listener, maxConnections int) net.Listener {
	return NewListener(l, Limits{Connections: maxConnections, ConnectionBytes: messageConnectionBytes, Budget: m.Peers, MinIdle: minIdleMessages})
}

// ReadRequestBody buffers the body of a request, which must arrive by the deadline and is charged to a budget. The error is ErrNoRoom, an
// *http.MaxBytesError, os.ErrDeadlineExceeded or another one of the connection.
func ReadRequestBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time, budget *Budget) (*Body, error) {
	if r.ContentLength > maxBytes {
		return &Body{Reservation: budget.Reserve()}, &http.MaxBytesError{Limit: maxBytes}
	}
	if r.ContentLength == 0 {
		return &Body{Reservation: budget.Reserve()}, nil
	}
	done := BeginRead(w, deadline)
	body, err := ReadBody(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, budget)
	done(err)
	return body, err
}

// BeginRead sets the deadline by which a request's body must arrive, until the returned function is called with the error of reading it.
// After an error the server, which reads the rest of a body before it goes on with the connection, waits for that only a moment.
func BeginRead(w http.ResponseWriter, deadline time.Time) (done func(error)) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(deadline) // not supported by tests' recorders alone
	return func(err error) {
		if err != nil {
			controller.SetReadDeadline(time.Now().Add(restTimeout)) // ends with the request
			return
		}
		controller.SetReadDeadline(time.Time{})
	}
}

// BeginWrite sets the time in which an answer of so many bytes must have been read, and charges it. The returned function ends that. An
// answer that has no room beside others that nobody reads gets little time. The time ends with the request.
func (m *Memory) BeginWrite(w http.ResponseWriter, bytes int) (done func()) {
	reservation := m.Replies.Reserve()
	timeout := writeTimeout + time.Duration(bytes)*time.Second/slowestReader
	if reservation.Grow(int64(bytes)) != nil {
		timeout = pressedWriteTimeout
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout)) // not supported by tests' recorders alone
	return reservation.Release
}
