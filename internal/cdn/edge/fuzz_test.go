package edge

import (
	"bytes"
	"encoding/gob"
	"io"
	"net/rpc"
	"testing"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peersampling"

	"gotest.tools/v3/assert"
)

// fakeConn is a connection whose peer has sent some bytes and closed it.
type fakeConn struct {
	io.Reader
	io.Writer
}

// Close does nothing.
func (fakeConn) Close() error { return nil }

// FuzzFrames sends arbitrary bytes to the port between routers: they must end in an error or a response, nothing may be cached, and the
// state must not change.
func FuzzFrames(f *testing.F) {
	frame := func(method string, args any) []byte {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		assert.NilError(f, e.Encode(rpc.Request{ServiceMethod: method, Seq: 1}))
		assert.NilError(f, e.Encode(args))
		return b.Bytes()
	}
	f.Add(frame("Edge.Fetch", Fetch{Key: objectcache.Key{Service: "shop", Host: "a", Path: "/s/1"}, Target: "/s/1", LeftMS: 1}))
	f.Add(frame("Edge.Fetch", Fetch{LeftMS: -1, AgeMS: -1, ETag: "x", Home: true}))
	f.Add(frame("Edge.News", clusterstate.Ask{Have: 1 << 60}))
	f.Add(frame("Edge.Mingle", []peersampling.Neighbour{{Address: "x", Age: -1}}))
	f.Add(frame("Edge.Serve", 1))
	f.Fuzz(func(t *testing.T, text []byte) {
		edge := &Edge{}
		edge.init()
		edge.peerView = peersampling.New("me", 4, 1)
		s := newReplicaForTest()
		edge.replica, edge.cache = s, objectcache.New(1<<20)
		server := rpc.NewServer()
		assert.NilError(t, server.RegisterName("Edge", &peerHandler{edge: edge}))
		server.ServeConn(fakeConn{bytes.NewReader(text), io.Discard})
		assert.Equal(t, s.Index(), uint64(0))
		n, _ := edge.cache.Size()
		assert.Equal(t, n, 0)
		assert.Assert(t, len(edge.peerView.Addresses()) <= 4)
	})
}
