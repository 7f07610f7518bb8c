package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/upstream"

	"gotest.tools/v3/assert"
)

// A route starts to require keys while a request with a valid key is being received: both configurations allow the request.
func TestRouteRequiresKeyDuringRequest(t *testing.T) {
	o := newOrigin(t)
	e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, e), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "100 Continue"), line)
	sealed := keyedConfig(2, twoTenantsJSON)
	sealed.Put = []byte(strings.Replace(string(sealed.Put), `"unsealed":true`, `"unsealed":false`, 1))
	apply(sealed)
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode == 200 || resp.StatusCode == 503,
		"status %d for a request that both configurations allow", resp.StatusCode)
}

// Tenants come into force while a request on a route that needs no key is being received: its server must see neither the key nor the
// sender name that the client sent.
func TestTenantsAddedDuringRequest(t *testing.T) {
	o := newOrigin(t)
	e, apply := newTestEdge(t, o, keyedRoutesJSON)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, e), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nSender: ink\r\n"+
		"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	_, err = r.ReadString('\n')
	assert.NilError(t, err)
	apply(keyedConfig(2, twoTenantsJSON))
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	_, err = http.ReadResponse(r, nil)
	assert.NilError(t, err)
	for _, i := range o.identities() {
		assert.Assert(t, i.tenant != "ink" && i.clientKey == "", "%+v", i)
	}
}

// A key is added between the lookup in an older plan and the proof check: the answer must not be 401.
func TestKeyAddedAfterLookup(t *testing.T) {
	o := newOrigin(t)
	e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	r := httptest.NewRequest("GET", "http://a.example/r/1", nil)
	r.Header.Set("Key", "k-9")
	r.Header.Set(upstream.HeaderRequestID, "try")
	w := httptest.NewRecorder()
	q := &request{Request: r, w: w, outbound: e.outbound, memory: e.memory, id: "try", arrived: time.Now(), timeLeft: time.Second, plan: e.plan.Load()}
	q.route = q.plan.routeTable.Find("a.example", "/r/1")
	apply(keyedConfig(2, twoTenantsJSON+tenantJSON("new", 0, "k-9"))) // the news and their proof arrive between the lookup and unknownKeyError
	e.authenticate(q)
	assert.Assert(t, w.Code != 401, "401 for a key that the configuration in force holds")
}

// edition_time, not a part of contact, bounds how long a new key may be unknown.
func TestUnknownKeysWithinEditionTime(t *testing.T) {
	o := newOrigin(t)
	e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	e.config.Limits.Contact, e.config.Limits.Edition = 8*time.Second, 2500*time.Millisecond
	e.replica = newReplicaForTest()
	e.replica.Set, e.replica.Log = e.config, e.log
	e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, time.Now().Add(-3500*time.Millisecond))
	assert.Assert(t, e.unknownKeyError("k-9") == errNotProven, "401 for a key acknowledged 3.4 s ago, with edition_time 2.5 s")
}

// Clients that forge Sender on a cacheable route, by GET, HEAD and POST with a range: servers see the key's tenant and no key.
func TestForgedSenderOnCacheableRoute(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST"} {
		o := newOrigin(t)
		e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
		e.get(t, http.DefaultClient, listen(t, e), method, "/s/1", "",
			"Key", "k-1", "Sender", "ink", "Range", "bytes=0-1", "Connection", "Sender")
		for _, i := range o.identities() {
			assert.Assert(t, i.tenant == "wax" && i.clientKey == "", "%s %+v", method, i)
		}
		assert.Assert(t, len(o.identities()) > 0)
	}
}

// A router whose proof has expired answers keyed requests with 503, whatever it has cached, and sends no attempt.
func TestKeyedRequestsNeedProof(t *testing.T) {
	for _, target := range []string{"/r/1", "/o/1", "/s/1", "/u/1"} {
		o := newOrigin(t)
		e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
		e.config.Limits.RevokeTimeout = 10 * time.Minute
		e.replica = newReplicaForTest()
		e.replica.Set, e.replica.Log = e.config, e.log
		e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, time.Now().Add(-time.Hour))
		url := listen(t, e)
		a := e.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1")
		assert.Equal(t, a.status, 503, target)
		assert.Equal(t, len(o.identities()), 0, target)
		e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, time.Now())
		assert.Equal(t, e.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1").status, 200, target)
	}
}

// Without a proof, a request without a key is served where the plan asks for none, and one with a key is not: a configuration that this router
// does not know yet may ask for a key there, and have removed this one.
func TestKeyOnPublicRouteNeedsProof(t *testing.T) {
	o := newOrigin(t)
	e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	e.config.Limits.RevokeTimeout = 10 * time.Minute
	e.replica = newReplicaForTest()
	e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, time.Now().Add(-time.Hour))
	assert.Equal(t, e.request("GET", "/u/1", "Key", "k-1").status, 503)
	assert.Equal(t, len(o.seen()), 0)
	assert.Equal(t, e.request("GET", "/u/1").status, 200)
	assert.Equal(t, len(o.seen()), 1)
	e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, time.Now())
	assert.Equal(t, e.request("GET", "/u/1", "Key", "k-1").status, 200)
}

// Server changes are sent when listDelay is over.
func TestServerListDelay(t *testing.T) {
	e, s := largeFleet(t)
	e.listDelay = 20 * time.Millisecond
	e.replica.Log, e.replica.Took = e.log, func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	e.replica.Apply(clusterstate.News{State: s.Clone(), Index: s.Index}, time.Now())
	e.replica.Took = e.applyChange
	sent := e.serverLists.Load()
	for i := range 5 {
		sv := fleetServer(2 + i)
		sv.Beat, sv.State = 1, clusterstate.ServerClosing
		e.replica.Apply(clusterstate.News{
			Changes: []clusterstate.Change{{Index: s.Index + 1 + uint64(i), Data: clusterstate.Command{Server: &sv}.Encode()}},
			Index:   s.Index + 1 + uint64(i)}, time.Now())
	}
	assert.Equal(t, e.serverLists.Load(), sent)
	eventually(t, "the list is sent", func() bool { return e.serverLists.Load() == sent+1 })
}
