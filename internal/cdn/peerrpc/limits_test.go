package peerrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"

	"gotest.tools/v3/assert"
)

// testOptions returns options whose budgets are far larger than what the tests send.
func testOptions() Options {
	return Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares), MaxBulkBytes: map[string]int64{"Echo.Bulk": 4 << 20}}
}

// echo returns what it is sent.
type echo struct{}

// Bulk is an RPC method that may be sent long texts.
func (echo) Bulk(text *[]byte, out *[]byte) error { *out = *text; return nil }

// Names is an RPC method.
func (echo) Names(names *[]string, count *int) error { *count = len(*names); return nil }

// Counts is an RPC method.
func (echo) Counts(counts *map[string]int, sum *int) error {
	for _, count := range *counts {
		*sum += count
	}
	return nil
}

// listenEcho serves the echo service and returns its address.
func listenEcho(t *testing.T, options Options) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go Serve(l, "Echo", options, SharedService(echo{}))
	return l.Addr().String()
}

// Calls and replies of any length reach the other side whole, on one connection and on several, and nothing stays charged.
func TestCallsOfAllLengths(t *testing.T) {
	options := testOptions()
	address := listenEcho(t, options)
	for range 2 {
		p := NewPeer(address)
		for _, length := range []int{0, 1, 100, 127, 128, 4 << 10, 64<<10 + 1, 3 << 20, 5} {
			sent := bytes.Repeat([]byte{'x'}, length)
			got, err := Call[[]byte, []byte](t.Context(), p, "Echo.Bulk", &sent)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, sent), "%d bytes", length)
			names := strings.Split(strings.Repeat("a ", length%1000), " ")
			count, err := Call[[]string, int](t.Context(), p, "Echo.Names", &names)
			assert.NilError(t, err)
			assert.Equal(t, count, len(names))
		}
		_, err := Call[bool, bool](t.Context(), p, "Echo.Unknown", new(bool))
		assert.ErrorContains(t, err, "can't find method")
		p.Close()
	}
	awaitReleased(t, options.Memory.Messages)
	awaitReleased(t, options.Memory.Replies)
}

// awaitReleased waits until a budget has no bytes in use.
func awaitReleased(t *testing.T, budget *admission.Budget) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); budget.Used() > 0; {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still charged", budget.Used())
	}
}

// A call for which there is no room gets an error, and the connection goes on with the next call.
func TestCallWithoutRoom(t *testing.T) {
	options := Options{Memory: admission.NewMemory(1, admission.Shares{Messages: 0.5, Replies: 0.5}), MaxBulkBytes: map[string]int64{"Echo.Bulk": 4 << 20}}
	p := NewPeer(listenEcho(t, options))
	long := make([]byte, 300<<10)
	for range 3 {
		_, err := Call[[]byte, []byte](t.Context(), p, "Echo.Bulk", &long)
		assert.ErrorContains(t, err, admission.ErrNoRoom.Error())
		conn := p.conn
		short := []byte("short")
		got, err := Call[[]byte, []byte](t.Context(), p, "Echo.Bulk", &short)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "short")
		assert.Assert(t, p.conn == conn, "on the same connection")
	}
	manyNames := make([]string, 100<<10) // a byte each
	_, err := Call[[]string, int](t.Context(), p, "Echo.Names", &manyNames)
	assert.ErrorContains(t, err, admission.ErrNoRoom.Error())
	p.Close()
	awaitReleased(t, options.Memory.Messages)
}

// A message that announces far more items of a map or a list than it has is refused before room is made for them.
func TestAnnouncedItems(t *testing.T) {
	for method, arguments := range map[string]any{"Echo.Counts": map[string]int{"a": 1}, "Echo.Names": []string{"a"}} {
		address := listenEcho(t, testOptions())
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		encoder.Encode(&rpc.Request{ServiceMethod: method, Seq: 1})
		encoder.Encode(arguments)
		whole := stream.Bytes()
		message := bytes.LastIndex(whole, []byte{0, 1, 1, 'a'}) // no struct, one item, a text of one byte
		length, hugeCount := message-3, []byte{0xfc, 0x20, 0, 0, 0}
		changed := slices.Concat(whole[:message+1], hugeCount, whole[message+2:])
		changed[length] += byte(len(hugeCount) - 1)
		before := allocatedBytes()
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = conn.Write(changed)
		assert.NilError(t, err)
		answer, _ := io.ReadAll(conn)
		assert.Assert(t, bytes.Contains(answer, []byte("EOF")) || bytes.Contains(answer, []byte("exceeds input")), "%s: %q", method, answer)
		assert.Assert(t, allocatedBytes()-before < 4<<20, "%s: %d bytes were allocated", method, allocatedBytes()-before)
		conn.Close()
	}
}

// allocatedBytes returns how many bytes have been allocated since the start of the process.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Messages that are too long, and what is no message, end their connection. What was only announced is never charged.
func TestMalformedStreams(t *testing.T) {
	options := testOptions()
	address := listenEcho(t, options)
	var header, unknown bytes.Buffer
	gob.NewEncoder(&header).Encode(&rpc.Request{ServiceMethod: "Echo.Bulk", Seq: 1})
	encoder := gob.NewEncoder(&unknown)
	encoder.Encode(&rpc.Request{ServiceMethod: "Echo.Unknown", Seq: 1})
	end := unknown.Len()
	encoder.Encode(&rpc.Request{ServiceMethod: "Echo.Unknown", Seq: 2})
	unknownAgain := bytes.Clone(unknown.Bytes()[end:])
	unknown.Truncate(end)
	typeWithoutKind := []byte{3, 0xff, 0x8b, 0, 4, 0xff, 0x8c, 0, 1} // at the second value package gob panics
	for name, stream := range map[string][]byte{
		"a header of 900 MB":       {0xfc, 0x38, 0x40, 0, 0, 2},
		"a body of 900 MB":         append(header.Bytes(), 0xfc, 0x38, 0x40, 0, 0, 2),
		"a definition of 1 MB":     {0xfd, 0x10, 0, 0, 1, 3},
		"a length of nine bytes":   {0xf7, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		"a length of 0":            {0, 0, 0},
		"a number of nine bytes":   {5, 0xf7, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		"bytes that are no gob":    []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		"a header that is no gob":  {3, 2, 0xff, 0xff, 0, 0, 0},
		"a value before its type":  {4, 0xfe, 0x01, 0x00, 0},
		"a type without a kind":    slices.Concat(unknown.Bytes(), typeWithoutKind, unknownAgain, typeWithoutKind[4:]),
		"a length that is cut off": {0xfc, 0x38},
	} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = conn.Write(stream)
		assert.NilError(t, err)
		conn.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, conn) // it may be told why
		assert.Assert(t, err == nil || !strings.Contains(err.Error(), "timeout"), "%s: left open", name)
		conn.Close()
		assert.Assert(t, options.Memory.Messages.Used() < 1<<20, name)
	}
	awaitReleased(t, options.Memory.Messages)
}

// LongReply is a reply that may be long.
type LongReply struct{ Text []byte }

// ReplyBytes implements Sized.
func (r *LongReply) ReplyBytes() int64 { return int64(len(r.Text)) }

// maker makes long replies, which it reserves before.
type maker struct{ session *Session }

// Make is an RPC method.
func (m maker) Make(bytes *int64, reply *LongReply) error {
	if err := m.session.ReserveReply(reply, *bytes); err != nil {
		return err
	}
	reply.Text = make([]byte, *bytes)
	return nil
}

// MakeUnreserved is an RPC method.
func (m maker) MakeUnreserved(bytes *int64, reply *LongReply) error {
	reply.Text = make([]byte, *bytes)
	return nil
}

// Fail is an RPC method that fails after it has reserved its reply.
func (m maker) Fail(bytes *int64, reply *LongReply) error {
	m.session.ReserveReply(reply, *bytes)
	return errors.New("failed")
}

// A reply is charged until it has been written: before it is made if its method reserves it, else before it is encoded. One without room
// is an error of its call alone.
func TestRepliesShareBudget(t *testing.T) {
	options := Options{Memory: admission.NewMemory(1, admission.Shares{Messages: 0.5, Replies: 0.5})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go Serve(l, "Maker", options, func(s *Session) any { return maker{s} })
	p := NewPeer(l.Addr().String())
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	for _, method := range []string{"Maker.Make", "Maker.MakeUnreserved"} {
		for bytes, fits := range map[int64]bool{1000: true, 200 << 10: true, 600 << 10: false} {
			got, err := Call[int64, LongReply](ctx, p, method, &bytes)
			if !fits {
				assert.ErrorContains(t, err, admission.ErrNoRoom.Error())
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, int64(len(got.Text)), bytes)
		}
	}
	bytes := int64(1000)
	_, err = Call[int64, LongReply](ctx, p, "Maker.Fail", &bytes)
	assert.ErrorContains(t, err, "failed")
	p.Close()
	awaitReleased(t, options.Memory.Replies)
	awaitReleased(t, options.Memory.Messages)
}
