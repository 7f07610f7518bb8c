package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// How many tenants there are, and what a change does to their keys.
const (
	tenantCount   = 5
	keysOfTenant  = 4 // in the first configuration; the first key of each tenant stays with it all day
	keysTaken     = 2 // by each change
	keysAdded     = 2
	keysMoved     = 1
	priorityCount = 3 // ranks that tenants are dealt in turn
)

// keyTable is which tenant holds each key in one configuration.
type keyTable map[string]string

// keySource draws keys. No key is drawn twice, so one that was taken away never comes back.
type keySource struct {
	seed   uint64
	drawn  int
	steady map[string]bool // never taken away, never moved
}

func newKeySource(seed uint64) *keySource { return &keySource{seed: seed, steady: map[string]bool{}} }

// next draws a key that no configuration held before.
func (s *keySource) next() string {
	s.drawn++
	return fmt.Sprintf("key-%d-%d", s.seed, s.drawn)
}

func tenantName(n int) string { return fmt.Sprint("tenant-", n+1) }

// first is the key table of the day's first configuration.
func (s *keySource) first() keyTable {
	table := keyTable{}
	for n := range tenantCount {
		for k := range keysOfTenant {
			key := s.next()
			table[key], s.steady[key] = tenantName(n), k == 0
		}
	}
	return table
}

// change is the table after one change: some keys are taken away, one goes to another tenant, some are new.
func (s *keySource) change(table keyTable, rng *rand.Rand) keyTable {
	changed := maps.Clone(table)
	var loose []string
	for _, key := range slices.Sorted(maps.Keys(table)) {
		if !s.steady[key] {
			loose = append(loose, key)
		}
	}
	rng.Shuffle(len(loose), func(i, j int) { loose[i], loose[j] = loose[j], loose[i] })
	taken := min(keysTaken, len(loose))
	for _, key := range loose[:taken] {
		delete(changed, key)
	}
	for _, key := range loose[taken:min(taken+keysMoved, len(loose))] {
		for changed[key] == table[key] {
			changed[key] = tenantName(rng.IntN(tenantCount))
		}
	}
	for range keysAdded {
		changed[s.next()] = tenantName(rng.IntN(tenantCount))
	}
	return changed
}

// parcels is the part of a configuration that names the tenants and their keys.
func (t keyTable) parcels() string {
	var b strings.Builder
	for n := range tenantCount {
		var keys []string
		for _, key := range slices.Sorted(maps.Keys(t)) {
			if t[key] == tenantName(n) {
				keys = append(keys, fmt.Sprintf("%q", key))
			}
		}
		b.WriteString(tenantParcel(n, keys))
	}
	return b.String()
}

// tenantParcel is one tenant's entry; keys are quoted.
func tenantParcel(n int, keys []string) string {
	return fmt.Sprintf(`{"parcel_kind":"senders","label":{"name":"%s"},"manifest":{"stamps":[%s],"precedence":%d}},`, tenantName(n), strings.Join(keys, ","), n%priorityCount)
}
