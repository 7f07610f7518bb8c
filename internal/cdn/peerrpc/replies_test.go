package peerrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"

	"gotest.tools/v3/assert"
)

// listenRaw accepts connections and passes each to a function.
func listenRaw(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// replyStart returns the bytes of a reply to the first call, up to the value of the reply.
func replyStart() []byte {
	var stream bytes.Buffer
	gob.NewEncoder(&stream).Encode(&rpc.Response{ServiceMethod: "Echo.Bulk", Seq: 0})
	return stream.Bytes()
}

// A peer in trouble may send bytes without end, a reply of any length, or one that announces far more items than it has: the call fails, and
// little memory is taken.
func TestEndlessReplies(t *testing.T) {
	cases := map[string]struct {
		start, repeat []byte
	}{
		"garbage":              {nil, []byte{0x81, 0, 'x'}},
		"short numbers":        {nil, []byte{1}},
		"a message of 900 MB":  {append(replyStart(), 0xfc, 0x35, 0xa4, 0xe9, 0, 10, 0), []byte{'x'}},
		"a header of 900 MB":   {[]byte{0xfc, 0x35, 0xa4, 0xe9, 0, 10, 0}, []byte{'x'}},
		"a number of 2^63":     {append(replyStart(), 0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff), []byte{'x'}},
		"a reply over 64 MB":   {append(replyStart(), 0xfc, 0x04, 0x10, 0, 0, 10, 0), []byte{'x'}},
		"definitions of types": {nil, []byte{4, 0x41, 0xff, 0x82, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := listenRaw(t, func(conn net.Conn) {
				conn.Write(c.start)
				for block := bytes.Repeat(c.repeat, 16<<10); ; {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			})
			before := allocatedBytes()
			p := NewPeer(address)
			defer p.Close()
			p.replies = admission.NewBudget(24<<20, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := Call[[]byte, []byte](ctx, p, "Echo.Bulk", &[]byte{1})
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
			taken := allocatedBytes() - before
			assert.Assert(t, taken < 32<<20, "%d MB", taken>>20)
			awaitReleased(t, p.replies)
		})
	}
}

// A reply that has no room fails its call alone: the connection goes on with the next one.
func TestReplyWithoutRoom(t *testing.T) {
	p := NewPeer(listenEcho(t, testOptions()))
	p.replies = admission.NewBudget(1<<20, nil)
	long, short := bytes.Repeat([]byte{'x'}, 600<<10), []byte("short")
	for range 3 {
		_, err := Call[[]byte, []byte](t.Context(), p, "Echo.Bulk", &long)
		assert.ErrorIs(t, err, admission.ErrNoRoom)
		conn := p.conn
		got, err := Call[[]byte, []byte](t.Context(), p, "Echo.Bulk", &short)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "short")
		assert.Assert(t, p.conn == conn, "on the same connection")
	}
	p.Close()
	awaitReleased(t, p.replies)
}

// A reply that announces far more items than it has is refused before room is made for them.
func TestAnnouncedItemsOfReply(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	encoder.Encode(&rpc.Response{ServiceMethod: "Echo.Counts", Seq: 0})
	encoder.Encode(map[string]int{"a": 1})
	whole := stream.Bytes()
	message := bytes.LastIndex(whole, []byte{0, 1, 1, 'a'}) // no struct, one item, a text of one byte
	hugeCount := []byte{0xfc, 0x20, 0, 0, 0}
	changed := append(append(append([]byte{}, whole[:message+1]...), hugeCount...), whole[message+2:]...)
	changed[message-3] += byte(len(hugeCount) - 1)
	address := listenRaw(t, func(conn net.Conn) {
		conn.Write(changed)
		io.Copy(io.Discard, conn)
	})
	before := allocatedBytes()
	_, err := Call[bool, map[string]int](t.Context(), NewPeer(address), "Echo.Counts", new(bool))
	assert.Assert(t, err != nil)
	assert.Assert(t, allocatedBytes()-before < 16<<20)
}
