package peerrpc

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/cdn/admission"
)

const (
	maxHeaderBytes        = 1 << 10          // of a call's header: the method and its number
	maxArgumentBytes      = 1 << 20          // of a call's arguments, unless Options names another bound
	callBytes             = 4 << 10          // of a call in progress, beside its arguments
	maxCallsPerConnection = 1024             // in progress
	replyTimeout          = 15 * time.Second // for a reply to be taken, beside the time for its bytes
	slowestPeer           = 64 << 10         // bytes per second
	peerServiceName       = "Peer"
)

// errTooManyCalls is the error of calls beyond maxCallsPerConnection.
var errTooManyCalls = Error.New("too many calls in progress on this connection")

// Options configure a server.
type Options struct {
	Memory *admission.Memory // bounds all calls and replies together
	// MaxBulkBytes bounds the arguments of each method that takes long texts, by its name with the service's; they are bounded by
	// maxArgumentBytes otherwise.
	MaxBulkBytes map[string]int64
}

// Sized is implemented by replies that may be long.
type Sized interface {
	// ReplyBytes returns about how many bytes the reply takes once it is encoded.
	ReplyBytes() int64
}

// Serve answers calls of the named service until the listener is closed. The service function is called once per connection, with the
// session of that connection, and once to validate the service.
func Serve(l net.Listener, name string, options Options, service func(*Session) any) error {
	if _, err := newServer(name, service, newSession(context.Background())); err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err) // listeners of package startup retry what passes
		}
		go serveConn(c, name, options, service)
	}
}

// newServer returns an RPC server for one connection: the service itself and the methods of every process.
func newServer(name string, service func(*Session) any, session *Session) (*rpc.Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service(session)); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := server.RegisterName(peerServiceName, peerService{session}); err != nil {
		return nil, Error.Wrap(err)
	}
	return server, nil
}

// serveConn answers the calls of one connection. When the connection ends, so do the contexts of its calls: the caller can no longer
// receive a reply.
func serveConn(conn net.Conn, name string, options Options, service func(*Session) any) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(ErrCallerCancelled)
	session := newSession(ctx)
	session.replies = options.Memory.Replies
	server, err := newServer(name, service, session)
	if err != nil { // cannot happen: Serve has registered the same service before
		conn.Close()
		return
	}
	defer session.releaseReservations()
	server.ServeCodec(newServerCodec(conn, options, session, func() { cancel(ErrCallerCancelled) }))
}

// serverCodec is an rpc.ServerCodec that speaks what a gob client of net/rpc does, and charges calls and replies.
type serverCodec struct {
	conn     net.Conn
	options  Options
	session  *Session
	onEnd    func() // called when no further call can be read
	frames   *frameReader
	decoder  *gob.Decoder
	checker  streamChecker
	replies  replyStream            // used by one goroutine at a time
	retained *admission.Reservation // of the message that the decoder keeps; used by the reading goroutine alone
	reading  *serverCall            // whose arguments are read next; used by the reading goroutine alone
	method   string                 // of that call
	failed   error                  // why no further call can be read; used by the reading goroutine alone

	mu         sync.Mutex
	calls      map[uint64]*serverCall // in progress, by the number that they have here
	lastNumber uint64
}

// serverCall is a call in progress.
type serverCall struct {
	callerNumber uint64 // by which its caller knows it; callers may use one twice
	reservation  *admission.Reservation
}

func newServerCodec(conn net.Conn, options Options, session *Session, onEnd func()) *serverCodec {
	c := &serverCodec{conn: conn, options: options, session: session, onEnd: onEnd, frames: newFrameReader(conn),
		replies: replyStream{defined: map[uint64]bool{}}, calls: map[uint64]*serverCall{}, retained: options.Memory.Messages.Reserve()}
	c.decoder = gob.NewDecoder(&c.frames.pending)
	return c
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	next := &serverCall{reservation: c.options.Memory.Messages.Reserve()}
	if c.failed == nil {
		c.failed = c.readHeader(request, next)
	}
	if c.failed != nil {
		next.reservation.Release()
		c.retained.Release()
		c.onEnd()
		return c.failed
	}
	c.reading, c.method = next, request.ServiceMethod
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.calls[c.lastNumber] = next
	next.callerNumber, request.Seq = request.Seq, c.lastNumber
	return nil
}

// readHeader reads a call's header.
func (c *serverCodec) readHeader(request *rpc.Request, next *serverCall) error {
	if _, err := c.frames.Next(messageLimits{maxBytes: maxHeaderBytes}, next.reservation); err != nil {
		return err
	}
	c.retained.Release()
	return decode(c.decoder, request)
}

// ReadRequestBody implements rpc.ServerCodec. An error is the reply to this call, and the next one is read.
func (c *serverCodec) ReadRequestBody(arguments any) error {
	reservation := c.reading.reservation
	length, err := c.frames.Next(c.limits(), reservation)
	if err != nil {
		if !errors.Is(err, admission.ErrNoRoom) {
			c.failed = err
		}
		return err
	}
	if c.failed = c.decodeArguments(arguments); c.failed != nil {
		return c.failed
	}
	c.retained.Release()
	c.retained = reservation.Split(int64(length))
	if strings.HasPrefix(c.method, peerServiceName+".") { // these are what ends calls, and shows that the process is alive
		return nil
	}
	c.mu.Lock()
	inProgress := len(c.calls)
	c.mu.Unlock()
	if inProgress > maxCallsPerConnection {
		return errTooManyCalls
	}
	return reservation.Grow(callBytes)
}

// decodeArguments decodes the message that was read last.
func (c *serverCodec) decodeArguments(arguments any) error {
	if mustCheck(arguments) {
		if err := c.checker.check(c.frames.definitions, c.frames.message); err != nil {
			return err
		}
	}
	c.frames.message = nil
	return decode(c.decoder, arguments)
}

// limits returns the bounds of the arguments of the call that is read.
func (c *serverCodec) limits() messageLimits {
	if maxBytes, bulk := c.options.MaxBulkBytes[c.method]; bulk {
		return messageLimits{maxBytes: maxBytes, bulk: true}
	}
	return messageLimits{maxBytes: maxArgumentBytes}
}

// WriteResponse implements rpc.ServerCodec. A reply that has no room is replaced by an error.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	answered := c.endCall(response)
	defer answered.Release()
	reserved := c.session.takeReservation(body)
	defer reserved.Release()
	reply := c.options.Memory.Replies.Reserve()
	defer reply.Release()
	if reserved == nil && reply.Grow(replyBytes(body)) != nil {
		response.Error, body = admission.ErrNoRoom.Error(), struct{}{}
	}
	err := c.write(response, body)
	if err != nil {
		c.Close()
	}
	return err
}

// write writes a reply.
func (c *serverCodec) write(response *rpc.Response, body any) error {
	out, err := c.replies.appendValue(make([]byte, 0, shortReplyBytes), response)
	if err != nil {
		return err
	}
	if out, err = c.replies.appendValue(out, body); err != nil {
		return err
	}
	c.conn.SetWriteDeadline(time.Now().Add(replyTimeout + time.Duration(len(out))*time.Second/slowestPeer))
	defer c.conn.SetWriteDeadline(time.Time{})
	_, err = c.conn.Write(out)
	return err
}

// endCall restores the number by which the caller knows the call, and returns what the call is charged.
func (c *serverCodec) endCall(response *rpc.Response) *admission.Reservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.calls[response.Seq]
	if ended == nil {
		return nil
	}
	delete(c.calls, response.Seq)
	response.Seq = ended.callerNumber
	return ended.reservation
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// encodedCopies is how often a reply is held while it is encoded and written.
const encodedCopies = 2

// replyBytes returns about how many bytes a reply takes while it is encoded and written.
func replyBytes(body any) int64 {
	switch reply := body.(type) {
	case Sized:
		return callBytes + encodedCopies*reply.ReplyBytes()
	case *[]byte:
		return callBytes + encodedCopies*int64(len(*reply))
	}
	return callBytes
}
