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

// A route that begins to ask for keys while a request with a proper key comes: both configurations allow it.
func TestARouteIsSealedWhileItsRequestComes(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, keyedRoutes+twoTenants)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, f), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "100 Continue"), line)
	sealed := configured(2, twoTenants)
	sealed.Put = []byte(strings.Replace(string(sealed.Put), `"unsealed":true`, `"unsealed":false`, 1))
	give(sealed)
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode == 200 || resp.StatusCode == 503, "%d for a request that both configurations allow", resp.StatusCode)
}

// Tenants come into force while a request on a route that needs no key comes: its server is shown neither the key nor a name that the client gave itself.
func TestTenantsComeWhileARequestComes(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, keyedRoutes)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, f), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nSender: ink\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	_, err = r.ReadString('\n')
	assert.NilError(t, err)
	give(configured(2, twoTenants))
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	_, err = http.ReadResponse(r, nil)
	assert.NilError(t, err)
	for _, i := range o.identities() {
		assert.Assert(t, i.tenant != "ink" && i.clientKey == "", "%+v", i)
	}
}

// The plan that a key was not found in is older than the proof by which 401 is answered.
func TestAPlanOlderThanTheProof(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, keyedRoutes+twoTenants)
	r := httptest.NewRequest("GET", "http://a.example/r/1", nil)
	r.Header.Set("Key", "k-9")
	r.Header.Set(upstream.HeaderID, "try")
	w := httptest.NewRecorder()
	q := &request{Request: r, w: w, link: f.link, id: "try", arrived: time.Now(), left: time.Second, plan: f.plan.Load()}
	q.route = q.plan.table.Find("a.example", "/r/1")
	give(configured(2, twoTenants+tenant("new", 0, "k-9"))) // the news, and the proof with them, come between the look and unknownKey
	f.admit(q)
	assert.Assert(t, w.Code != 401, "401 for a key that the configuration in force holds")
}

// edition_time is what bounds how long a new key may be unknown, not a part of contact.
func TestUnknownKeysWithinEditionTime(t *testing.T) {
	o := newOrigin(t)
	f, _ := lone(t, o, keyedRoutes+twoTenants)
	f.set.Bounds.Contact, f.set.Bounds.Edition = 8*time.Second, 2500*time.Millisecond
	f.replica = newReplicaForTest()
	f.replica.Set, f.replica.Log = f.set, f.log
	f.replica.Take(clusterstate.News{Fresh: true, Proven: true}, time.Now().Add(-3500*time.Millisecond))
	assert.Assert(t, f.unknownKey("k-9") == errNotProven, "a key acknowledged 3.4 s ago, edition_time 2.5 s, is answered 401")
}

// A request on a shelved route whose client names its own Sender and Key, as a range and a HEAD.
func TestForgedOnObjects(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST"} {
		o := newOrigin(t)
		f, _ := lone(t, o, keyedRoutes+twoTenants)
		f.get(t, http.DefaultClient, listen(t, f), method, "/s/1", "", "Key", "k-1", "Sender", "ink", "Range", "bytes=0-1", "Connection", "Sender")
		for _, i := range o.identities() {
			assert.Assert(t, i.tenant == "wax" && i.clientKey == "", "%s %+v", method, i)
		}
		assert.Assert(t, len(o.identities()) > 0)
	}
}

// A router whose proof has run out lets nothing run for a key, whatever it holds, and says 503; nothing is tried.
func TestNothingRunsWithoutAProof(t *testing.T) {
	for _, target := range []string{"/r/1", "/o/1", "/s/1", "/u/1"} {
		o := newOrigin(t)
		f, _ := lone(t, o, keyedRoutes+twoTenants)
		f.set.Bounds.Revoke = 10 * time.Minute
		f.replica = newReplicaForTest()
		f.replica.Set, f.replica.Log = f.set, f.log
		f.replica.Take(clusterstate.News{Fresh: true, Proven: true}, time.Now().Add(-time.Hour))
		url := listen(t, f)
		a := f.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1")
		if target == "/u/1" {
			assert.Equal(t, a.status, 200)
			continue
		}
		assert.Equal(t, a.status, 503, target)
		assert.Equal(t, len(o.identities()), 0, target)
		f.replica.Take(clusterstate.News{Fresh: true, Proven: true}, time.Now())
		assert.Equal(t, f.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1").status, 200, target)
	}
}

// Servers that change are told once the pause is over.
func TestServersAreToldAfterThePause(t *testing.T) {
	f, s := largeFleet(t)
	f.listPause = 20 * time.Millisecond
	f.replica.Log, f.replica.Took = f.log, func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	f.replica.Take(clusterstate.News{State: s.Clone(), Index: s.Index}, time.Now())
	f.replica.Took = f.took
	told := f.lists.Load()
	for i := range 5 {
		sv := fleetServer(2 + i)
		sv.Beat, sv.State = 1, clusterstate.Closing
		f.replica.Take(clusterstate.News{Changes: []clusterstate.Change{{Index: s.Index + 1 + uint64(i), Data: clusterstate.Command{Server: &sv}.Encode()}}, Index: s.Index + 1 + uint64(i)}, time.Now())
	}
	assert.Equal(t, f.lists.Load(), told)
	eventually(t, "the list is told", func() bool { return f.lists.Load() == told+1 })
}
