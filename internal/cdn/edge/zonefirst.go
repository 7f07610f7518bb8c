package edge

import (
	"maps"
	"slices"

	"cedarmast/balance"
)

// zoneFirstTiers is a balance.Tiers that prefers the own zone to all others, because traffic between zones is expensive. It is an exception
// to the one draw over all servers, documented in docs/design/network.md.
type zoneFirstTiers struct {
	zone  string
	tiers []balance.Tier
}

// SetUp implements balance.Tiers: it orders the zones that have servers.
func (t *zoneFirstTiers) SetUp(_ balance.Time, up map[string]int) {
	t.tiers = t.tiers[:0]
	if up[t.zone] > 0 {
		t.tiers = append(t.tiers, balance.Tier{Zone: t.zone, LimitShare: 1})
	}
	for _, zone := range slices.Sorted(maps.Keys(up)) {
		if zone != t.zone && up[zone] > 0 {
			t.tiers = append(t.tiers, balance.Tier{Zone: zone, LimitShare: 1})
		}
	}
	if len(t.tiers) > 2 { // the second zone depends on the own zone: not all traffic of a lost zone goes to the same one
		rest := t.tiers[1:]
		if t.tiers[0].Zone != t.zone {
			rest = t.tiers
		}
		shift := 0
		for _, b := range []byte(t.zone) {
			shift += int(b)
		}
		shift %= len(rest)
		copy(rest, append(slices.Clone(rest[shift:]), rest[:shift]...))
	}
}

// Order implements balance.Tiers.
func (t *zoneFirstTiers) Order(balance.Time, balance.RequestInfo) []balance.Tier { return t.tiers }

// AttemptBegun implements balance.Tiers; attempts don't change the order.
func (t *zoneFirstTiers) AttemptBegun(balance.Time, string, uint64, bool, bool) bool { return false }

// AttemptEnded implements balance.Tiers.
func (t *zoneFirstTiers) AttemptEnded(balance.Time, balance.AttemptResult) {}

// View implements balance.Tiers; there is nothing to show.
func (t *zoneFirstTiers) View() ([]balance.SiteView, float64) { return nil, 0 }
