package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

	"gotest.tools/v3/assert"
)

// tenantJSON returns a tenant's entry in a configuration.
func tenantJSON(name string, priority int, keys ...string) string {
	return fmt.Sprintf(`{"parcel_kind":"senders","label":{"name":%q},"manifest":{"stamps":["%s"],"precedence":%d}},`,
		name, strings.Join(keys, `","`), priority)
}

var (
	keyedRoutesJSON = threeRoutesJSON + strings.Replace(routeJSON("u", "resendable", "/u/"), `"tries"`, `"unsealed":true,"tries"`, 1)
	twoTenantsJSON  = tenantJSON("wax", 0, "k-1") + tenantJSON("ink", 0, "k-2", "k-3")
)

// keyedConfig returns the command that puts a further version of the keyed routes with these tenants.
func keyedConfig(version int, tenants string) clusterstate.Command {
	return clusterstate.Command{Put: fmt.Appendf(nil, `{"edition":"r%d","based_on":"r%d","parcels":[%s`+
		`{"parcel_kind":"carriers","label":{"name":"shop"},"manifest":{}}]}`, version, version-1, keyedRoutesJSON+tenants)}
}

// secondServer returns the command that adds a second server at the same address.
func secondServer(o *origin) clusterstate.Command {
	return clusterstate.Command{Server: &clusterstate.Server{ID: "i-2", Service: "shop", Address: o.address, Zone: "a", Slots: 8,
		State: clusterstate.ServerOpen, Beat: 1}}
}

// waitForChanges waits until the load balancers have all changes applied so far.
func waitForChanges(e *Edge) {
	done := make(chan struct{})
	e.enqueue(func() { close(done) })
	<-done
}

// tenants returns the tenant names that the server was sent, in order.
func (o *origin) tenants() (all []string) {
	for _, i := range o.identities() {
		all = append(all, i.tenant)
	}
	return all
}

// Servers see the tenant that holds the client's key and never the key. A request without a valid key is answered before any work is done.
func TestServersSeeTenantNotKey(t *testing.T) {
	const nothing = "no request reaches a server"
	cases := []struct {
		name, tenants, target string
		head                  []string
		status                int
		shown                 string // tenant and key
	}{
		{"valid key", twoTenantsJSON, "/r/1", []string{"Key", "k-1"}, 200, "wax "},
		{"key of another tenant", twoTenantsJSON, "/r/1", []string{"Key", "k-3"}, 200, "ink "},
		{"forged sender", twoTenantsJSON, "/r/1", []string{"Key", "k-1", "Sender", "ink"}, 200, "wax "},
		{"once-only route", twoTenantsJSON, "/o/1", []string{"Key", "k-1", "Sender", "ink"}, 200, "wax "},
		{"cacheable route", twoTenantsJSON, "/s/1", []string{"Key", "k-1"}, 200, "wax "},
		{"no key", twoTenantsJSON, "/r/1", []string{"Sender", "wax"}, 401, nothing},
		{"unknown key", twoTenantsJSON, "/o/1", []string{"Key", "k-4"}, 401, nothing},
		{"unknown key on a cacheable route", twoTenantsJSON, "/s/1", []string{"Key", "k-4"}, 401, nothing},
		{"tenant name as key", twoTenantsJSON, "/r/1", []string{"Key", "wax"}, 401, nothing},
		{"unknown key on an open route", twoTenantsJSON, "/u/1", []string{"Key", "k-4", "Sender", "wax"}, 200, " "},
		{"valid key on an open route", twoTenantsJSON, "/u/1", []string{"Key", "k-1"}, 200, " "},
		{"no route", twoTenantsJSON, "/none/1", nil, 404, nothing},
		{"no tenants", "", "/r/1", []string{"Key", "k-4", "Sender", "me"}, 200, "me k-4"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOrigin(t)
			e, _ := newTestEdge(t, o, keyedRoutesJSON+c.tenants)
			a := e.get(t, http.DefaultClient, listen(t, e), "GET", c.target, "", c.head...)
			shown := nothing
			for _, i := range o.identities() {
				shown = i.tenant + " " + i.clientKey
			}
			assert.Equal(t, fmt.Sprint(a.status, ", ", shown), fmt.Sprint(c.status, ", ", c.shown))
			if c.status == 401 {
				assert.Equal(t, a.body, "")
				assert.Equal(t, e.counters.Attempts.Load(), int64(0), "attempts for a request without a valid key")
			}
		})
	}
}

// A cache entry is served to clients of every tenant, and to nobody else. A router that does not know a key, and can't prove that it knows
// the newest ones, answers 503 instead of 401.
func TestCachedCopiesRequireKey(t *testing.T) {
	o := newOrigin(t)
	e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	url := listen(t, e)
	status := func(key string) int {
		return e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", key).status
	}
	assert.Equal(t, status("k-1"), 200)
	assert.Equal(t, status("k-2"), 200)
	assert.Equal(t, status("k-4"), 401, "a cache entry is served without a valid key")
	assert.Equal(t, len(o.seen()), 1)
	e.config.Limits.Contact, e.replica.Set.Limits.Contact = 0, 0 // the proof is too old
	assert.Equal(t, status("k-1"), 200)
	a := e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-4")
	assert.Equal(t, a.status, 503, "the key may be newer")
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

// A request whose key is removed while its body is being received is refused at once, before it waits for a server.
func TestKeyRemovedDuringRequest(t *testing.T) {
	o := newOrigin(t)
	e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, e), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /o/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n') // the key was valid, and the body is requested
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "100 Continue"), line)
	apply(keyedConfig(2, tenantJSON("ink", 0, "k-2")))
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, e.counters.Attempts.Load(), int64(0))
}

// A retry after a failed attempt is sent for the tenant that holds the key at that time, or not at all. A request that has run is answered
// with its result even if its key is gone.
func TestKeyChangesBetweenAttempts(t *testing.T) {
	cases := []struct {
		name, tenants string // the tenants after the first server has received the request
		ran           bool   // the first server runs it and fails, else it rejects it
		status        int
		seen          []string // tenants in the order of attempts
	}{
		{"key stays", twoTenantsJSON, false, 200, []string{"wax", "wax"}},
		{"key removed", tenantJSON("ink", 0, "k-2"), false, 401, []string{"wax"}},
		{"key removed after the request has run", tenantJSON("ink", 0, "k-2"), true, 500, []string{"wax"}},
		{"key moves to another tenant", tenantJSON("wax", 0, "k-9") + tenantJSON("ink", 0, "k-1", "k-2"), false, 200, []string{"wax", "ink"}},
		{"all tenants removed", "", false, 200, []string{"wax", ""}},
	}
	for _, c := range cases {
		for _, target := range []string{"/r/1", "/o/1", "/s/1"} {
			t.Run(c.name+" "+target, func(t *testing.T) {
				o := newOrigin(t)
				e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
				apply(secondServer(o))
				waitForChanges(e)
				gate := make(chan struct{})
				if o.gate, o.notRun = gate, 1; c.ran {
					o.notRun, o.status = 0, 500
				}
				url, got := listen(t, e), make(chan answer, 1)
				go func() { got <- e.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1") }()
				eventually(t, "the first server has the request", func() bool { return len(o.seen()) == 1 })
				apply(keyedConfig(2, c.tenants))
				close(gate)
				a := <-got
				assert.DeepEqual(t, o.tenants(), c.seen)
				assert.Equal(t, a.status, c.status)
			})
		}
	}
}

// A shared fetch runs with the key of the request that started it. If that key is removed only that request is refused; the others start a
// new fetch.
func TestSharedFetchUsesStarterKey(t *testing.T) {
	for _, keyRemoved := range []bool{false, true} {
		t.Run(fmt.Sprint("key removed: ", keyRemoved), func(t *testing.T) {
			o := newOrigin(t)
			e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
			apply(secondServer(o))
			waitForChanges(e)
			gate := make(chan struct{})
			o.set(func() { o.gate = gate })
			url, first, second := listen(t, e), make(chan answer, 1), make(chan answer, 1)
			go func() { first <- e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1") }()
			eventually(t, "a server has the request", func() bool { return len(o.seen()) == 1 })
			go func() { second <- e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2") }()
			eventually(t, "both requests wait", func() bool {
				e.fetches.mu.Lock()
				defer e.fetches.mu.Unlock()
				for _, w := range e.fetches.inFlight {
					return w.waiters == 2
				}
				return false
			})
			want, shown := 200, []string{"wax"}
			if keyRemoved {
				apply(keyedConfig(2, tenantJSON("ink", 0, "k-2")))
				o.set(func() { o.notRun = 1 })
				want, shown = 401, []string{"wax", "ink"}
			}
			close(gate)
			assert.Equal(t, (<-first).status, want)
			assert.Equal(t, (<-second).status, 200)
			assert.DeepEqual(t, o.tenants(), shown)
		})
	}
}

// A cache router that sends a request to a server for another router's client names the tenant according to its own configuration, which is
// the same or newer.
func TestSendingRouterNamesTenant(t *testing.T) {
	cases := []struct {
		name, peer string // peerTenants: the tenants at the other cache router
		oldProof   bool   // whether that router's proof is too old
		status     int
		seen       []string
	}{
		{"same configuration", twoTenantsJSON, false, 200, []string{"wax"}},
		{"key removed there", tenantJSON("ink", 0, "k-2"), false, 401, nil},
		{"key unknown there without a proof", tenantJSON("ink", 0, "k-2"), true, 200, []string{"wax"}},
		{"key moved there", tenantJSON("ink", 0, "k-1"), false, 200, []string{"ink"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOrigin(t)
			peer, applyToPeer := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
			if applyToPeer(keyedConfig(2, c.peer)); c.oldProof {
				peer.config.Limits.Contact = 0
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { l.Close() })
			go peerrpc.Serve(l, "Edge", peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, func(s *peerrpc.Session) any { return &peerHandler{peer, s} })
			e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
			apply(clusterstate.Command{Enrol: []clusterstate.Router{{Node: "lender", Zone: "a", Address: l.Addr().String()}}})
			apply(clusterstate.Command{Absent: "me"})
			waitForChanges(e)
			a := e.get(t, http.DefaultClient, listen(t, e), "GET", "/s/1", "", "Key", "k-1")
			assert.Equal(t, a.status, c.status)
			assert.DeepEqual(t, o.tenants(), c.seen)
		})
	}
}

// A refresh uses the id and the key of the last request for the cache entry, which belong together. After the key is removed
// there is no refresh.
func TestRefreshUsesLastRequestersKey(t *testing.T) {
	o := newOrigin(t)
	e, apply := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	url, refreshTime := listen(t, e), func() time.Time { return time.Now().Add(16 * time.Second) } // of a TTL of 20 s
	refreshed := func(n int) {
		t.Helper()
		e.refreshDue(refreshTime())
		eventually(t, "a refresh", func() bool { return len(o.seen()) == n && e.fetches.count() == 0 })
	}
	assert.Equal(t, e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1").status, 200)
	refreshed(2)
	b := e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2")
	assert.Equal(t, b.status, 200)
	refreshed(3)
	refreshed(4)
	all := o.identities()
	assert.Equal(t, fmt.Sprint(all[1:]), fmt.Sprint([]identity{{"", "wax", ""}, {b.header.Get("Try-Id"), "ink", ""}, {"", "ink", ""}}))
	assert.Equal(t, e.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2").status, 200)
	apply(keyedConfig(2, tenantJSON("wax", 0, "k-1")))
	e.refreshDue(refreshTime())
	assert.Equal(t, e.fetches.count(), 0, "refresh with a removed key")
	assert.Equal(t, len(o.seen()), 4)
}

// Requests rank by the tenant's priority first, then by the route's. If all tenants have the same priority, or there are none, only the
// route's priority counts.
func TestTenantRanks(t *testing.T) {
	shop := []clusterstate.ServiceShare{{Service: "shop", Weight: 1}}
	high, low := clusterstate.Route{Name: "h", Priority: 0, Split: shop}, clusterstate.Route{Name: "l", Priority: 2, Split: shop}
	open := clusterstate.Route{Name: "o", Priority: 1, Split: shop, Unsealed: true}
	cases := []struct {
		name    string
		tenants []clusterstate.Tenant
		want    []int // ranks on the high and low route of the first tenant, then of the second
		classes int
	}{
		{"none", nil, []int{0, 2}, 3},
		{"alike", []clusterstate.Tenant{{Name: "wax", Priority: 4}, {Name: "ink", Priority: 4}}, []int{0, 2, 0, 2}, 3},
		{"one below the other", []clusterstate.Tenant{{Name: "wax", Priority: 1}, {Name: "ink", Priority: 2}}, []int{0, 2, 3, 5}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &clusterstate.Manifest{Routes: []clusterstate.Route{high, low, open}, Tenants: c.tenants}
			p := &plan{Manifest: m, tenantTable: newTenantTable(m), topRanks: topRanks(m)}
			of := []*clusterstate.Tenant{nil}
			if len(c.tenants) > 0 {
				of = []*clusterstate.Tenant{&m.Tenants[0], &m.Tenants[1]}
			}
			var got []int
			for _, tenant := range of {
				got = append(got, p.rank(&m.Routes[0], tenant), p.rank(&m.Routes[1], tenant))
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, p.rank(&m.Routes[2], nil), 1)
			svc := &service{name: "shop"}
			assert.Assert(t, !p.ranksLow(&m.Routes[0], of[0], svc) && p.ranksLow(&m.Routes[1], of[0], svc))
			assert.Equal(t, p.ranksLow(&m.Routes[0], of[len(of)-1], svc), c.want[len(c.want)-2] > 0)
			assert.Equal(t, len((&Edge{}).loopSettings(clusterstate.New(), p, "shop").Classes), c.classes)
		})
	}
}
