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

// wire is a connection on which somebody has written something and hung up.
type wire struct {
	io.Reader
	io.Writer
}

func (wire) Close() error { return nil }

// FuzzFrames is what anybody may send to the port between routers: it ends in an error or an answer, nothing is stored and the
// state stays as it is.
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
		p := &Edge{}
		p.init()
		p.view = peersampling.New("me", 4, 1)
		s := newReplicaForTest()
		p.replica, p.cache = s, objectcache.New(1<<20)
		server := rpc.NewServer()
		assert.NilError(t, server.RegisterName("Edge", &peerCalls{edge: p}))
		server.ServeConn(wire{bytes.NewReader(text), io.Discard})
		assert.Equal(t, s.Index(), uint64(0))
		n, _ := p.cache.Size()
		assert.Equal(t, n, 0)
		assert.Assert(t, len(p.view.Neighbours()) <= 4)
	})
}
