package localnet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/usage"

	"gotest.tools/v3/assert"
)

// tell reports what a proxy has counted to all core machines that run, whoever holds the duty.
func (n *Network) tell(r usage.Report) {
	for _, m := range n.CoreMachines() {
		ctx, done := context.WithTimeout(context.Background(), 200*time.Millisecond)
		peer := peerrpc.NewPeer(fmt.Sprintf("%s:%d", m.IP, sparePort))
		peerrpc.Call[usage.Report, bool](ctx, peer, "ConfigStore.Usage", &r)
		peer.Close()
		done()
	}
}

// The holder of the duty is killed while a call of its is out and taken. Another one goes on under a higher fence: the platform has each window once,
// none is left out between the first and the last, and no rule is broken.
func TestUsageOverALostHolder(t *testing.T) {
	n := Shape{Core: 3, Zones: 2, Net: 77, Reports: true}.start(t)
	begin := usage.RoundOf(time.Now(), platformWindow)
	report := usage.Report{Node: "edge-1", Life: "1"}
	count := func() {
		now := usage.RoundOf(time.Now(), platformWindow)
		report.Sequence++
		report.Final, report.Windows = now-1, map[int64]usage.Counts{}
		for round := begin; round <= now; round++ {
			report.Windows[round] = usage.Counts{"a": round - begin + 1}
		}
		n.tell(report)
	}
	taken := func(more int) func() bool {
		before := len(n.Platform.Windows())
		return func() bool { count(); return len(n.Platform.Windows()) >= before+more }
	}
	until(t, 30*time.Second, "two windows are taken", taken(2))
	holder := n.status(n.leader()).Duty
	n.Platform.Behave(Silent, 0)
	until(t, 15*time.Second, "a call is out", taken(1))
	for _, m := range n.CoreMachines() {
		if m.IP == holder.Holder {
			n.Signal(m, syscall.SIGKILL)
		}
	}
	n.Platform.Behave(Answering, 0)
	until(t, 40*time.Second, "two windows more", taken(2))

	windows := n.Platform.Windows()
	first := begin
	for len(windows[first]) == 0 {
		first++
	}
	assert.Assert(t, first-begin < 5, "the first window of which anything was told is sent: %d", first-begin)
	for i := range int64(len(windows)) {
		assert.DeepEqual(t, windows[first+i], map[string]int64{"a": first + i - begin + 1})
	}
	assert.Equal(t, len(n.Platform.Breaches()), 0, strings.Join(n.Platform.Breaches(), "\n"))
	assert.Assert(t, n.Platform.Answered(http.StatusOK) >= 4)
	until(t, 10*time.Second, "the duty has moved", func() bool {
		l := n.leader()
		return l != nil && n.status(l).Duty.Epoch > holder.Epoch
	})
}

// The tenants of configurations in tests, with a key each.
const (
	tenantInk = `{"parcel_kind":"senders","label":{"name":"ink"},"manifest":{"stamps":["k-ink"],"precedence":0}},`
	tenantWax = `{"parcel_kind":"senders","label":{"name":"wax"},"manifest":{"stamps":["k-wax"],"precedence":1}},`
)

// manifestOf is a configuration with tenants.
func manifestOf(edition, base int, tenants string) []byte {
	const carriers = `{"parcel_kind":"carriers"`
	return []byte(strings.Replace(string(Manifest(edition, base, "shop")), carriers, tenants+carriers, 1))
}

// keyedManifest is the first configuration, of two tenants.
func keyedManifest() []byte { return manifestOf(1, 0, tenantInk+tenantWax) }

// withoutWax takes the key of one tenant away.
func withoutWax(edition, base int) []byte { return manifestOf(edition, base, tenantInk) }

// What clients ask for at two proxies, one of which is restarted as planned meanwhile, is what the platform is told of each tenant: no more, no less.
func TestUsageOfClients(t *testing.T) {
	n := Shape{Core: 3, Edges: 2, Zones: 2, Net: 78, Reports: true}.start(t)
	_, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	status, text, err := n.Control(t.Context(), http.MethodPut, "/manifest", keyedManifest())
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "%s", text)
	served := map[string]int64{}
	ask := func(m *Machine, path, tenant string) bool {
		status, err := n.AskWithKey(m, "shop.example", path, fmt.Sprint("try-", time.Now().UnixNano()), "k-"+tenant)
		if err == nil && status == http.StatusOK {
			served[tenant]++
		}
		return err == nil && status == http.StatusOK
	}
	for _, m := range n.EdgeMachines() {
		until(t, 20*time.Second, "served", func() bool { return ask(m, "/resendable/1", "ink") })
	}
	for i := range 40 {
		m := n.EdgeMachines()[i%2]
		ask(m, fmt.Sprint("/resendable/", i), "wax")
		ask(m, "/shelved/1", "ink")
		if i == 20 {
			n.Signal(m, syscall.SIGTERM)
			assert.NilError(t, n.Up(m))
			until(t, 20*time.Second, "it is back", func() bool { return ask(m, "/resendable/2", "wax") })
		}
	}
	status, err = n.AskWithKey(n.EdgeMachines()[0], "shop.example", "/resendable/1", "try-unknown", "k-none")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
	told := func() map[string]int64 {
		sum := map[string]int64{}
		for _, counts := range n.Platform.Windows() {
			for tenant, count := range counts {
				sum[tenant] += count
			}
		}
		return sum
	}
	until(t, 30*time.Second, "all is told", func() bool { return told()["wax"] >= served["wax"] && told()["ink"] >= served["ink"] })
	assert.DeepEqual(t, told(), served)
	assert.Equal(t, len(n.Platform.Breaches()), 0, strings.Join(n.Platform.Breaches(), "\n"))
}
