package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

	"gotest.tools/v3/assert"
)

func tenant(name string, priority int, keys ...string) string {
	return fmt.Sprintf(`{"parcel_kind":"senders","label":{"name":%q},"manifest":{"stamps":["%s"],"precedence":%d}},`, name, strings.Join(keys, `","`), priority)
}

var (
	keyedRoutes = threeRoutes + strings.Replace(parcel("u", "resendable", "/u/"), `"tries"`, `"unsealed":true,"tries"`, 1)
	twoTenants  = tenant("wax", 0, "k-1") + tenant("ink", 0, "k-2", "k-3")
)

// configured is a further version of the keyed routes with such tenants.
func configured(version int, tenants string) clusterstate.Command {
	return clusterstate.Command{Put: fmt.Appendf(nil, `{"edition":"r%d","based_on":"r%d","parcels":[%s{"parcel_kind":"carriers","label":{"name":"shop"},"manifest":{}}]}`, version, version-1, keyedRoutes+tenants)}
}

// secondServer adds a server of the service, at the same address.
func secondServer(o *origin) clusterstate.Command {
	return clusterstate.Command{Server: &clusterstate.Server{ID: "i-2", Service: "shop", Address: o.address, Zone: "a", Slots: 8, State: clusterstate.Open, Beat: 1}}
}

// settle waits until the decisions have what was given.
func settle(f *Edge) {
	done := make(chan struct{})
	f.later(func() { close(done) })
	<-done
}

// tenants are those that the server was told, in order.
func (o *origin) tenants() (all []string) {
	for _, i := range o.identities() {
		all = append(all, i.tenant)
	}
	return all
}

// Servers are told the tenant that holds the client's key and never the key; who has none is answered before anything is done for him.
func TestServersAreToldTheTenant(t *testing.T) {
	const nothing = "nothing reaches a server"
	cases := []struct {
		name, tenants, target string
		head                  []string
		status                int
		shown                 string // tenant and key
	}{
		{"a key", twoTenants, "/r/1", []string{"Key", "k-1"}, 200, "wax "},
		{"another tenant's", twoTenants, "/r/1", []string{"Key", "k-3"}, 200, "ink "},
		{"a client that calls itself another", twoTenants, "/r/1", []string{"Key", "k-1", "Sender", "ink"}, 200, "wax "},
		{"what runs once", twoTenants, "/o/1", []string{"Key", "k-1", "Sender", "ink"}, 200, "wax "},
		{"an object", twoTenants, "/s/1", []string{"Key", "k-1"}, 200, "wax "},
		{"no key", twoTenants, "/r/1", []string{"Sender", "wax"}, 401, nothing},
		{"an unknown key", twoTenants, "/o/1", []string{"Key", "k-4"}, 401, nothing},
		{"an unknown key for an object", twoTenants, "/s/1", []string{"Key", "k-4"}, 401, nothing},
		{"a tenant's name for a key", twoTenants, "/r/1", []string{"Key", "wax"}, 401, nothing},
		{"an unknown key where none is needed", twoTenants, "/u/1", []string{"Key", "k-4", "Sender", "wax"}, 200, " "},
		{"a key where none is needed", twoTenants, "/u/1", []string{"Key", "k-1"}, 200, " "},
		{"no route", twoTenants, "/none/1", nil, 404, nothing},
		{"no tenants", "", "/r/1", []string{"Key", "k-4", "Sender", "me"}, 200, "me k-4"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOrigin(t)
			f, _ := lone(t, o, keyedRoutes+c.tenants)
			a := f.get(t, http.DefaultClient, listen(t, f), "GET", c.target, "", c.head...)
			shown := nothing
			for _, i := range o.identities() {
				shown = i.tenant + " " + i.clientKey
			}
			assert.Equal(t, fmt.Sprint(a.status, ", ", shown), fmt.Sprint(c.status, ", ", c.shown))
			if c.status == 401 {
				assert.Equal(t, a.body, "")
				assert.Equal(t, f.counts.Attempts.Load(), int64(0), "something was begun for it")
			}
		})
	}
}

// A copy answers every tenant's clients, and nobody else. Whoever does not know a key and can't prove that it knows the newest ones says so.
func TestCopiesAreForHoldersOfKeys(t *testing.T) {
	o := newOrigin(t)
	f, _ := lone(t, o, keyedRoutes+twoTenants)
	url := listen(t, f)
	status := func(key string) int {
		return f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", key).status
	}
	assert.Equal(t, status("k-1"), 200)
	assert.Equal(t, status("k-2"), 200)
	assert.Equal(t, status("k-4"), 401, "a copy is handed to anybody")
	assert.Equal(t, len(o.seen()), 1)
	f.set.Bounds.Contact, f.replica.Set.Bounds.Contact = 0, 0 // and nothing has been heard since
	assert.Equal(t, status("k-1"), 200)
	a := f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-4")
	assert.Equal(t, a.status, 503, "the key may be newer")
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

// A key that goes while its request still comes is refused at once, and not after the request has waited for a server.
func TestAKeyThatGoesWhileItsRequestComes(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, keyedRoutes+twoTenants)
	c, err := net.Dial("tcp", strings.TrimPrefix(listen(t, f), "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /o/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: slow\r\nKey: k-1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n') // its key was good, and its body is wanted
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "100 Continue"), line)
	give(configured(2, tenant("ink", 0, "k-2")))
	fmt.Fprint(c, "claim")
	_, err = r.Discard(len("\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, f.counts.Attempts.Load(), int64(0))
}

// Whatever is sent next where one server has failed is sent for the tenant that holds the key by then, or not at all. What has run is answered
// as if its key were good.
func TestKeysBetweenAttempts(t *testing.T) {
	cases := []struct {
		name, then string // the tenants once the first server has the request
		ran        bool   // it fails there, else it is turned away
		status     int
		shown      []string // tenants, at one server after the other
	}{
		{"it stays", twoTenants, false, 200, []string{"wax", "wax"}},
		{"it goes", tenant("ink", 0, "k-2"), false, 401, []string{"wax"}},
		{"it goes, and the request has run", tenant("ink", 0, "k-2"), true, 500, []string{"wax"}},
		{"it moves", tenant("wax", 0, "k-9") + tenant("ink", 0, "k-1", "k-2"), false, 200, []string{"wax", "ink"}},
		{"all tenants go", "", false, 200, []string{"wax", ""}},
	}
	for _, c := range cases {
		for _, target := range []string{"/r/1", "/o/1", "/s/1"} {
			t.Run(c.name+" "+target, func(t *testing.T) {
				o := newOrigin(t)
				f, give := lone(t, o, keyedRoutes+twoTenants)
				give(secondServer(o))
				settle(f)
				gate := make(chan struct{})
				if o.wait, o.notRun = gate, 1; c.ran {
					o.notRun, o.status = 0, 500
				}
				url, got := listen(t, f), make(chan answer, 1)
				go func() { got <- f.get(t, http.DefaultClient, url, "GET", target, "", "Key", "k-1") }()
				eventually(t, "the first server has it", func() bool { return len(o.seen()) == 1 })
				give(configured(2, c.then))
				close(gate)
				a := <-got
				assert.DeepEqual(t, o.tenants(), c.shown)
				assert.Equal(t, a.status, c.status)
			})
		}
	}
}

// A fetch that several wait for runs for the one who began it. When his key goes he alone is refused: the others begin anew.
func TestAGatheredFetchRunsForTheOneWhoBeganIt(t *testing.T) {
	for _, goes := range []bool{false, true} {
		t.Run(fmt.Sprint("his key goes: ", goes), func(t *testing.T) {
			o := newOrigin(t)
			f, give := lone(t, o, keyedRoutes+twoTenants)
			give(secondServer(o))
			settle(f)
			gate := make(chan struct{})
			o.set(func() { o.wait = gate })
			url, first, second := listen(t, f), make(chan answer, 1), make(chan answer, 1)
			go func() { first <- f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1") }()
			eventually(t, "a server has it", func() bool { return len(o.seen()) == 1 })
			go func() { second <- f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2") }()
			eventually(t, "both wait", func() bool {
				f.fetches.mu.Lock()
				defer f.fetches.mu.Unlock()
				for _, w := range f.fetches.all {
					return w.waiting == 2
				}
				return false
			})
			want, shown := 200, []string{"wax"}
			if goes {
				give(configured(2, tenant("ink", 0, "k-2")))
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

// A cache router that asks a server for another one's client names the tenant by its own configuration, which is the same or a later one.
func TestTheMachineThatSendsNamesTheTenant(t *testing.T) {
	cases := []struct {
		name, lender string // the lender's tenants
		outOfTouch   bool   // the lender
		status       int
		shown        []string
	}{
		{"the same", twoTenants, false, 200, []string{"wax"}},
		{"the key is gone there", tenant("ink", 0, "k-2"), false, 401, nil},
		{"the key is not known there, where nothing is proven", tenant("ink", 0, "k-2"), true, 200, []string{"wax"}},
		{"the key has moved there", tenant("ink", 0, "k-1"), false, 200, []string{"ink"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOrigin(t)
			lender, toLender := lone(t, o, keyedRoutes+twoTenants)
			if toLender(configured(2, c.lender)); c.outOfTouch {
				lender.set.Bounds.Contact = 0
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { l.Close() })
			go peerrpc.Serve(l, "Edge", func(s *peerrpc.Session) any { return &peerCalls{lender, s} })
			asker, give := lone(t, o, keyedRoutes+twoTenants)
			give(clusterstate.Command{Enrol: []clusterstate.Router{{Node: "lender", Zone: "a", Address: l.Addr().String()}}})
			give(clusterstate.Command{Absent: "me"})
			settle(asker)
			a := asker.get(t, http.DefaultClient, listen(t, asker), "GET", "/s/1", "", "Key", "k-1")
			assert.Equal(t, a.status, c.status)
			assert.DeepEqual(t, o.tenants(), c.shown)
		})
	}
}

// A copy is asked about under the id and the key of the last one who wanted it, which belong together; once the key is gone it is not.
func TestRefreshesRunForTheLastOneWhoWantedTheCopy(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, keyedRoutes+twoTenants)
	url, ripe := listen(t, f), func() time.Time { return time.Now().Add(16 * time.Second) } // of twenty
	refreshed := func(n int) {
		t.Helper()
		f.refreshDue(ripe())
		eventually(t, "a refresh", func() bool { return len(o.seen()) == n && f.fetches.count() == 0 })
	}
	assert.Equal(t, f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1").status, 200)
	refreshed(2)
	b := f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2")
	assert.Equal(t, b.status, 200)
	refreshed(3)
	refreshed(4)
	all := o.identities()
	assert.Equal(t, fmt.Sprint(all[1:]), fmt.Sprint([]identity{{"", "wax", ""}, {b.header.Get("Try-Id"), "ink", ""}, {"", "ink", ""}}))
	assert.Equal(t, f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-2").status, 200)
	give(configured(2, tenant("wax", 0, "k-1")))
	f.refreshDue(ripe())
	assert.Equal(t, f.fetches.count(), 0, "asked about for a key that is gone")
	assert.Equal(t, len(o.seen()), 4)
}

// A tenant's rank goes before the route's; where all tenants rank alike, or there are none, the routes' ranks are as they were.
func TestRanksOfTenants(t *testing.T) {
	shop := []clusterstate.Share{{Service: "shop", Weight: 1}}
	high, low := clusterstate.Route{Name: "h", Priority: 0, Split: shop}, clusterstate.Route{Name: "l", Priority: 2, Split: shop}
	open := clusterstate.Route{Name: "o", Priority: 1, Split: shop, Unsealed: true}
	cases := []struct {
		name    string
		tenants []clusterstate.Tenant
		want    []int // high and low route of the first tenant, then of the second
		classes int
	}{
		{"none", nil, []int{0, 2}, 3},
		{"alike", []clusterstate.Tenant{{Name: "wax", Priority: 4}, {Name: "ink", Priority: 4}}, []int{0, 2, 0, 2}, 3},
		{"one below the other", []clusterstate.Tenant{{Name: "wax", Priority: 1}, {Name: "ink", Priority: 2}}, []int{0, 2, 3, 5}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &clusterstate.Manifest{Routes: []clusterstate.Route{high, low, open}, Tenants: c.tenants}
			p := &plan{Manifest: m, tenantTable: tenantTableOf(m), ranks: ranks(m)}
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
			sv := &service{name: "shop"}
			assert.Assert(t, !p.low(&m.Routes[0], of[0], sv) && p.low(&m.Routes[1], of[0], sv))
			assert.Equal(t, p.low(&m.Routes[0], of[len(of)-1], sv), c.want[len(c.want)-2] > 0)
			assert.Equal(t, len((&Edge{}).settings(clusterstate.New(), p, "shop").Classes), c.classes)
		})
	}
}
