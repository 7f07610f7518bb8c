package edge

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// manyRoutes returns a configuration with that many routes over two services and that many tenants with two keys each. The first route has
// its own timeout.
func manyRoutes(b testing.TB, routes, tenants, firstTimeoutMS int) *clusterstate.Manifest {
	b.Helper()
	var text strings.Builder
	text.WriteString(`{"edition":"r1","based_on":"0","parcels":[`)
	kinds := []string{clusterstate.KindCacheable, clusterstate.KindResendable, clusterstate.KindOnceOnly}
	for i := range routes {
		timeout := 1500
		if i == 0 {
			timeout = firstTimeoutMS
		}
		fmt.Fprintf(&text, `{"parcel_kind":"routes","label":{"name":"r-%d"},"manifest":{"domain":"host%d.example","path_prefix":"/p%d/",`+
			`"mail_class":"%s","timeout":"%dms","target":"%dms","precedence":2,"carrier":"s-%d","tries":2,"shelf":"20s"}},`,
			i, i%7, i, kinds[i%3], timeout, 120+10*(i%3), i%2)
	}
	for i := range tenants {
		text.WriteString(tenantJSON(fmt.Sprint("t-", i), i%3, fmt.Sprint("k-", i), fmt.Sprint("l-", i)))
	}
	text.WriteString(`{"parcel_kind":"carriers","label":{"name":"s-0"},"manifest":{"line_cap":130,"rate_per_s":380}},` +
		`{"parcel_kind":"carriers","label":{"name":"s-1"},"manifest":{"line_cap":130}}]}`)
	m, err := clusterstate.ParseManifest([]byte(text.String()))
	assert.NilError(b, err)
	return m
}

// BenchmarkConfigurationInForce measures a change of one route, without parsing the configuration, until the load balancers have it, by the
// number of routes and tenants.
// `go test -run XXX -bench ConfigurationInForce ./internal/cdn/edge`
func BenchmarkConfigurationInForce(b *testing.B) {
	for _, size := range []struct{ routes, tenants int }{{14, 0}, {300, 0}, {1400, 0}, {5000, 0}, {14, 87}, {1400, 87}, {1400, 2000}} {
		b.Run(fmt.Sprintf("%d/%d tenants", size.routes, size.tenants), func(b *testing.B) {
			life, end := context.WithCancel(b.Context())
			defer end()
			e := &Edge{log: hclog.NewNullLogger(), replica: statesync.New(), changes: make(chan func(), 4096), lifetime: life}
			e.config.MemoryMB, e.config.FileHandles = 256, 4096
			e.init()
			s := clusterstate.New()
			s.Body = clusterstate.CompressedText("{}")
			for i := range 40 {
				id := fmt.Sprint("i-", i)
				s.Servers[id] = clusterstate.Server{ID: id, Service: fmt.Sprint("s-", i%2), Address: "127.0.0.1:9",
					Slots: 4, State: clusterstate.ServerOpen}
			}
			versions := [2]*clusterstate.Manifest{manyRoutes(b, size.routes, size.tenants, 1500), manyRoutes(b, size.routes, size.tenants, 1501)}
			version := clusterstate.Version(1)
			for b.Loop() {
				version++
				m := *versions[version%2]
				m.Version, s.Version = version, version
				e.applyConfig(s, &m)
				for len(e.changes) > 0 {
					(<-e.changes)()
				}
			}
		})
	}
}
