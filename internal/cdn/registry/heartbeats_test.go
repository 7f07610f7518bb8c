package registry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A server's announcement that it is closing must not be acknowledged before it is committed, even if a later heartbeat
// of the same server has already arrived: that one may have failed. Here no config store answers. An older heartbeat
// without news is acknowledged.
func TestClosingIsAcknowledgedOnlyWhenCommitted(t *testing.T) {
	reg := &Registry{log: hclog.NewNullLogger(), memory: admission.NewMemory(256, admission.RegistryShares), peers: peerrpc.NewPeers(), heartbeats: NewHeartbeats(), replica: statesync.New(),
		callers: cancellation.NewTracker()}
	reg.store = reg.peers.At("127.0.0.1:1")
	cases := []struct {
		state  string
		beat   int
		status int
	}{
		{clusterstate.ServerClosing, 7, http.StatusServiceUnavailable},
		{clusterstate.ServerClosing, 6, http.StatusServiceUnavailable},
		{clusterstate.ServerOpen, 5, http.StatusOK},
	}
	for _, c := range cases {
		body := fmt.Sprintf(`{"id":"i-1","carrier":"shop","address":"10.0.0.9:80","zone":"a","edition":"v1","berths":4,"state":%q,"warmup":"0ms","postmark":%d}`, c.state, c.beat)
		answer := httptest.NewRecorder()
		reg.trackCallers(reg.routes()).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/servers/i-1", strings.NewReader(body)))
		assert.Equal(t, answer.Code, c.status, "%s %d: %s", c.state, c.beat, answer.Body)
	}
	assert.Equal(t, reg.callers.Violations(), int64(0))
}

// fakeStore stands in for the machine's config store. It only receives reports of heard servers.
type fakeStore struct{ heard chan []string }

// Heard is an RPC method.
func (s *fakeStore) Heard(ids *[]string, ok *bool) error {
	s.heard <- *ids
	*ok = true
	return nil
}

// A registry that cannot reach its config store must not acknowledge heartbeats by itself, even if its replica is kept
// current through other machines: the duty holder would never hear of the servers and would remove them. Once the store
// is back, it receives the report and heartbeats are acknowledged again.
func TestNoAcknowledgementWithoutConfigStore(t *testing.T) {
	reg := &Registry{log: hclog.NewNullLogger(), memory: admission.NewMemory(256, admission.RegistryShares), peers: peerrpc.NewPeers(), heartbeats: NewHeartbeats(), replica: statesync.New(),
		callers: cancellation.NewTracker()}
	reg.replica.Set.Limits.Contact = time.Hour
	reg.replica.Log = reg.log
	reg.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	server := clusterstate.Server{ID: "i-1", Service: "shop", Address: "10.0.0.9:80", Zone: "a", Edition: "v1", Slots: 4,
		State: clusterstate.ServerOpen, Beat: 1}
	reg.replica.Apply(clusterstate.News{Fresh: true, Changes: []clusterstate.Change{{Index: 1,
		Data: clusterstate.Command{Server: &server}.Encode()}}}, time.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reg.store = reg.peers.At(l.Addr().String())
	count := 1
	sendHeartbeat := func() int {
		count++
		body := fmt.Sprintf(`{"id":"i-1","carrier":"shop","address":"10.0.0.9:80","zone":"a","edition":"v1","berths":4,"state":"open","warmup":"0ms","postmark":%d}`, count)
		answer := httptest.NewRecorder()
		reg.trackCallers(reg.routes()).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/servers/i-1", strings.NewReader(body)))
		return answer.Code
	}
	assert.Equal(t, sendHeartbeat(), http.StatusOK)
	l.Close() // the store becomes unreachable
	reg.reportHeard(t.Context())
	assert.Equal(t, sendHeartbeat(), http.StatusServiceUnavailable)
	listener, err := net.Listen("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer listener.Close()
	restarted := &fakeStore{heard: make(chan []string, 4)}
	go peerrpc.Serve(listener, "ConfigStore", peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, peerrpc.SharedService(restarted))
	reg.reportHeard(t.Context())
	assert.DeepEqual(t, <-restarted.heard, []string{"i-1"})
	assert.Equal(t, sendHeartbeat(), http.StatusOK)
}
