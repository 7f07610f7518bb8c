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

// reportUsage sends a proxy's usage report to all running core machines, whichever of them holds the duty.
func (n *Network) reportUsage(r usage.Report) {
	for _, m := range n.CoreMachines() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		peer := peerrpc.NewPeer(fmt.Sprintf("%s:%d", m.IP, firstSparePort))
		peerrpc.Call[usage.Report, bool](ctx, peer, "ConfigStore.Usage", &r)
		peer.Close()
		cancel()
	}
}

// The holder of the duty is killed while a call is in flight that the platform has accepted. Another holder continues with a higher
// fence: the platform has each window with one set of counts, none is missing between the first and the last, and there are no
// violations.
func TestUsageOverALostHolder(t *testing.T) {
	n := Shape{Core: 3, Zones: 2, Subnet: 77, UsageReports: true}.startForTest(t)
	firstRound := usage.RoundOf(time.Now(), platformWindow)
	report := usage.Report{Node: "edge-1", Life: "1"}
	count := func() {
		now := usage.RoundOf(time.Now(), platformWindow)
		report.Sequence++
		report.Final, report.Windows = now-1, map[int64]usage.Counts{}
		for round := firstRound; round <= now; round++ {
			report.Windows[round] = usage.Counts{"a": round - firstRound + 1}
		}
		n.reportUsage(report)
	}
	accepted := func(more int) func() bool {
		before := len(n.Platform.Windows())
		return func() bool { count(); return len(n.Platform.Windows()) >= before+more }
	}
	waitFor(t, 30*time.Second, "two windows are accepted", accepted(2))
	holder := n.status(n.leader()).Duty
	n.Platform.SetBehavior(Silent, 0)
	waitFor(t, 15*time.Second, "a call is in flight", accepted(1))
	for _, m := range n.CoreMachines() {
		if m.IP == holder.Holder {
			n.Signal(m, syscall.SIGKILL)
		}
	}
	n.Platform.SetBehavior(Answering, 0)
	waitFor(t, 40*time.Second, "two more windows are accepted", accepted(2))

	windows := n.Platform.Windows()
	first := firstRound
	for len(windows[first]) == 0 {
		first++
	}
	assert.Assert(t, first-firstRound < 5, "the first reported window is sent: %d", first-firstRound)
	for i := range int64(len(windows)) {
		assert.DeepEqual(t, windows[first+i], map[string]int64{"a": first + i - firstRound + 1})
	}
	assert.Equal(t, len(n.Platform.Violations()), 0, strings.Join(n.Platform.Violations(), "\n"))
	assert.Assert(t, n.Platform.AnswerCount(http.StatusOK) >= 4)
	waitFor(t, 10*time.Second, "the duty has moved", func() bool {
		l := n.leader()
		return l != nil && n.status(l).Duty.Epoch > holder.Epoch
	})
}

// The JSON of two tenants with one key each, for configurations in tests.
const (
	tenantInk = `{"parcel_kind":"senders","label":{"name":"ink"},"manifest":{"stamps":["k-ink"],"precedence":0}},`
	tenantWax = `{"parcel_kind":"senders","label":{"name":"wax"},"manifest":{"stamps":["k-wax"],"precedence":1}},`
)

// manifestWithTenants returns a configuration with tenants.
func manifestWithTenants(edition, base int, tenants string) []byte {
	const carriers = `{"parcel_kind":"carriers"`
	return []byte(strings.Replace(string(Manifest(edition, base, "shop")), carriers, tenants+carriers, 1))
}

// keyedManifest returns the first configuration, with two tenants.
func keyedManifest() []byte { return manifestWithTenants(1, 0, tenantInk+tenantWax) }

// manifestWithoutWax returns a configuration without the tenant wax, which removes its key.
func manifestWithoutWax(edition, base int) []byte {
	return manifestWithTenants(edition, base, tenantInk)
}

// The usage that the platform receives for each tenant equals the requests that two proxies served, though one of them is restarted
// gracefully meanwhile.
func TestUsageOfClients(t *testing.T) {
	n := Shape{Core: 3, Edges: 2, Zones: 2, Subnet: 78, UsageReports: true}.startForTest(t)
	_, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	status, text, err := n.Control(t.Context(), http.MethodPut, "/manifest", keyedManifest())
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "%s", text)
	served := map[string]int64{}
	ask := func(m *Machine, path, tenant string) bool {
		status, err := n.RequestWithKey(m, "shop.example", path, fmt.Sprint("try-", time.Now().UnixNano()), "k-"+tenant)
		if err == nil && status == http.StatusOK {
			served[tenant]++
		}
		return err == nil && status == http.StatusOK
	}
	for _, m := range n.EdgeMachines() {
		waitFor(t, 20*time.Second, "served", func() bool { return ask(m, "/resendable/1", "ink") })
	}
	for i := range 40 {
		m := n.EdgeMachines()[i%2]
		ask(m, fmt.Sprint("/resendable/", i), "wax")
		ask(m, "/shelved/1", "ink")
		if i == 20 {
			n.Signal(m, syscall.SIGTERM)
			assert.NilError(t, n.StartMachine(m))
			waitFor(t, 20*time.Second, "it is back", func() bool { return ask(m, "/resendable/2", "wax") })
		}
	}
	status, err = n.RequestWithKey(n.EdgeMachines()[0], "shop.example", "/resendable/1", "try-unknown", "k-none")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
	reported := func() map[string]int64 {
		sum := map[string]int64{}
		for _, counts := range n.Platform.Windows() {
			for tenant, count := range counts {
				sum[tenant] += count
			}
		}
		return sum
	}
	waitFor(t, 30*time.Second, "all usage is reported", func() bool { return reported()["wax"] >= served["wax"] && reported()["ink"] >= served["ink"] })
	assert.DeepEqual(t, reported(), served)
	assert.Equal(t, len(n.Platform.Violations()), 0, strings.Join(n.Platform.Violations(), "\n"))
}
