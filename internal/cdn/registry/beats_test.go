package registry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A server's word that it leaves is acknowledged only once a majority has it, also where a later call of the same server has come already: that
// one may have failed. Here no config store answers. An older call that says nothing new is acknowledged.
func TestALateClosingIsNotTakenForGranted(t *testing.T) {
	w := &Registry{log: hclog.NewNullLogger(), peers: peerrpc.NewPeers(), beats: NewBeats(), replica: statesync.New(), callers: departure.NewLedger()}
	w.store = w.peers.At("127.0.0.1:1")
	cases := []struct {
		state  string
		beat   int
		status int
	}{
		{clusterstate.Closing, 7, http.StatusServiceUnavailable},
		{clusterstate.Closing, 6, http.StatusServiceUnavailable},
		{clusterstate.Open, 5, http.StatusOK},
	}
	for _, c := range cases {
		body := fmt.Sprintf(`{"id":"i-1","carrier":"shop","address":"10.0.0.9:80","zone":"a","edition":"v1","berths":4,"state":%q,"warmup":"0ms","postmark":%d}`, c.state, c.beat)
		answer := httptest.NewRecorder()
		w.accounted(w.calls()).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/servers/i-1", strings.NewReader(body)))
		assert.Equal(t, answer.Code, c.status, "%s %d: %s", c.state, c.beat, answer.Body)
	}
	assert.Equal(t, w.callers.Violations(), int64(0))
}

// store is a stand-in for the machine's config store: it is told who was heard, and that is all.
type store struct{ heard chan []string }

// Heard has net/rpc's form.
func (s *store) Heard(ids *[]string, ok *bool) error {
	s.heard <- *ids
	*ok = true
	return nil
}

// A registry whose config store is gone acknowledges nothing by itself, though its copy is in touch by way of other machines: the holder of the duty
// would hear of the servers nowhere and take them out. Once the store is back it is told, and beats are acknowledged again.
func TestWhoCanTellNobodyAcknowledgesNothing(t *testing.T) {
	w := &Registry{log: hclog.NewNullLogger(), peers: peerrpc.NewPeers(), beats: NewBeats(), replica: statesync.New(), callers: departure.NewLedger()}
	w.replica.Set.Bounds.Contact = time.Hour
	w.replica.Log = w.log
	w.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	server := clusterstate.Server{ID: "i-1", Service: "shop", Address: "10.0.0.9:80", Zone: "a", Edition: "v1", Slots: 4, State: clusterstate.Open, Beat: 1}
	w.replica.Take(clusterstate.News{Fresh: true, Changes: []clusterstate.Change{{Index: 1, Data: clusterstate.Command{Server: &server}.Encode()}}}, time.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w.store = w.peers.At(l.Addr().String())
	beats := 1
	beat := func() int {
		beats++
		body := fmt.Sprintf(`{"id":"i-1","carrier":"shop","address":"10.0.0.9:80","zone":"a","edition":"v1","berths":4,"state":"open","warmup":"0ms","postmark":%d}`, beats)
		answer := httptest.NewRecorder()
		w.accounted(w.calls()).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/servers/i-1", strings.NewReader(body)))
		return answer.Code
	}
	assert.Equal(t, beat(), http.StatusOK)
	l.Close() // the store is gone
	w.passOn(t.Context())
	assert.Equal(t, beat(), http.StatusServiceUnavailable)
	back, err := net.Listen("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer back.Close()
	told := &store{heard: make(chan []string, 4)}
	go peerrpc.Serve(back, "ConfigStore", peerrpc.Shared(told))
	w.passOn(t.Context())
	assert.DeepEqual(t, <-told.heard, []string{"i-1"})
	assert.Equal(t, beat(), http.StatusOK)
}
