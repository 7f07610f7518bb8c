package peerrpc

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"

	"cedarmast/internal/cdn/admission"
)

// This file reads replies. A peer in trouble may send anything, so a reply is charged, bounded and checked before it is decoded, as calls are
// on the other side.

const (
	maxReplyHeaderBytes = 16 << 10 // of a reply's header: the number of its call, and an error's text
	defaultReplyBytes   = 64 << 20 // of replies that are being read, for peers without a budget of their own
	maxDroppedReply     = 72 << 20 // a reply that has no room is read and dropped up to this length; a longer one ends its connection
)

// BodyReply is implemented by replies whose bytes are mostly a body, which may hold anything; see messageLimits.
type BodyReply interface{ IsBodyReply() }

// pendingReply is the reply that a call waits for.
type pendingReply struct {
	value   any
	refused error // why the value was not decoded, although the connection goes on
}

// clientCodec is an rpc.ClientCodec that speaks what a gob server of net/rpc does, and charges replies while they are read. One goroutine
// reads, and one at a time writes.
type clientCodec struct {
	conn    net.Conn
	budget  *admission.Budget
	frames  *frameReader
	decoder *gob.Decoder
	checker streamChecker
	encoder *gob.Encoder
	writer  *bufio.Writer
}

// newClient returns an RPC client on a connection, whose replies are charged to a budget.
func newClient(conn net.Conn, budget *admission.Budget) *rpc.Client {
	writer := bufio.NewWriter(conn)
	c := &clientCodec{conn: conn, budget: budget, frames: newFrameReader(conn), encoder: gob.NewEncoder(writer), writer: writer}
	c.frames.slowestSender = slowestPeer
	c.decoder = gob.NewDecoder(&c.frames.pending)
	return rpc.NewClientWithCodec(c)
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, arguments any) error {
	if err := c.encoder.Encode(request); err != nil {
		return err
	}
	if err := c.encoder.Encode(arguments); err != nil {
		return err
	}
	return c.writer.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	reservation := c.budget.Reserve()
	defer reservation.Release()
	if _, err := c.frames.Next(messageLimits{maxBytes: maxReplyHeaderBytes}, reservation); err != nil {
		return err
	}
	return decode(c.decoder, response)
}

// ReadResponseBody implements rpc.ClientCodec. An error ends the connection, so that a reply that merely has no room is none: its call is
// told by pendingReply.
func (c *clientCodec) ReadResponseBody(reply any) error {
	pending, ok := reply.(*pendingReply)
	if !ok { // nil, or the reply to a call that nobody waits for
		pending = &pendingReply{value: reply}
	}
	reservation := c.budget.Reserve()
	defer reservation.Release()
	_, err := c.frames.Next(c.limits(pending.value), reservation)
	if errors.Is(err, admission.ErrNoRoom) {
		pending.refused = err
		return nil
	}
	if err != nil {
		return err
	}
	if pending.value != nil && mustCheck(pending.value) {
		if err := c.checker.check(c.frames.definitions, c.frames.message); err != nil {
			return err
		}
	}
	c.frames.message = nil
	return decode(c.decoder, pending.value)
}

// limits returns the bounds of a reply.
func (c *clientCodec) limits(value any) messageLimits {
	limits := messageLimits{maxBytes: c.budget.Limit() / bulkCopies, maxDropped: maxDroppedReply, bulk: true}
	_, isBody := value.(BodyReply)
	limits.anyBytes = isBody || value == nil || !mustCheck(value)
	return limits
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
