package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// The number of tenants, and what a change does to their keys.
const (
	tenantCount   = 5
	keysPerTenant = 4 // in the first configuration; the first key of each tenant is permanent
	keysRemoved   = 2 // per change, as are the next two
	keysAdded     = 2
	keysMoved     = 1
	priorityCount = 3 // priorities, assigned to tenants round-robin
)

// keyTable maps each key of a configuration to its tenant's name.
type keyTable map[string]string

// keySource generates keys. It never repeats one, so a removed key never returns.
type keySource struct {
	seed      uint64
	drawn     int
	permanent map[string]bool // keys that are never removed or moved
}

func newKeySource(seed uint64) *keySource {
	return &keySource{seed: seed, permanent: map[string]bool{}}
}

// next returns a key that no configuration held before.
func (s *keySource) next() string {
	s.drawn++
	return fmt.Sprintf("key-%d-%d", s.seed, s.drawn)
}

// tenantName returns the name of tenant n, counted from 0.
func tenantName(n int) string { return fmt.Sprint("tenant-", n+1) }

// first returns the key table of the first configuration.
func (s *keySource) first() keyTable {
	table := keyTable{}
	for n := range tenantCount {
		for k := range keysPerTenant {
			key := s.next()
			table[key], s.permanent[key] = tenantName(n), k == 0
		}
	}
	return table
}

// change returns a changed copy of the table: keysRemoved keys are removed, keysMoved go to another tenant, keysAdded are new.
func (s *keySource) change(table keyTable, rng *rand.Rand) keyTable {
	changed := maps.Clone(table)
	var removable []string
	for _, key := range slices.Sorted(maps.Keys(table)) {
		if !s.permanent[key] {
			removable = append(removable, key)
		}
	}
	rng.Shuffle(len(removable), func(i, j int) { removable[i], removable[j] = removable[j], removable[i] })
	removedCount := min(keysRemoved, len(removable))
	for _, key := range removable[:removedCount] {
		delete(changed, key)
	}
	for _, key := range removable[removedCount:min(removedCount+keysMoved, len(removable))] {
		for changed[key] == table[key] {
			changed[key] = tenantName(rng.IntN(tenantCount))
		}
	}
	for range keysAdded {
		changed[s.next()] = tenantName(rng.IntN(tenantCount))
	}
	return changed
}

// encodeTenants returns the JSON of the tenants and their keys.
func (t keyTable) encodeTenants() string {
	var b strings.Builder
	for n := range tenantCount {
		var keys []string
		for _, key := range slices.Sorted(maps.Keys(t)) {
			if t[key] == tenantName(n) {
				keys = append(keys, fmt.Sprintf("%q", key))
			}
		}
		b.WriteString(encodeTenant(n, keys))
	}
	return b.String()
}

// encodeTenant returns the JSON of tenant n; keys are quoted already.
func encodeTenant(n int, keys []string) string {
	return fmt.Sprintf(`{"parcel_kind":"senders","label":{"name":"%s"},"manifest":{"stamps":[%s],"precedence":%d}},`, tenantName(n), strings.Join(keys, ","), n%priorityCount)
}
