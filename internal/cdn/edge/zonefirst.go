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

// Listed implements balance.Tiers: it orders the zones that have servers.
func (n *zoneFirstTiers) Listed(_ balance.Time, up map[string]int) {
	n.tiers = n.tiers[:0]
	if up[n.zone] > 0 {
		n.tiers = append(n.tiers, balance.Tier{Zone: n.zone, Part: 1})
	}
	for _, zone := range slices.Sorted(maps.Keys(up)) {
		if zone != n.zone && up[zone] > 0 {
			n.tiers = append(n.tiers, balance.Tier{Zone: zone, Part: 1})
		}
	}
	if len(n.tiers) > 2 { // the second zone depends on the own zone: not all traffic of a lost zone goes to the same one
		rest := n.tiers[1:]
		if n.tiers[0].Zone != n.zone {
			rest = n.tiers
		}
		shift := 0
		for _, b := range []byte(n.zone) {
			shift += int(b)
		}
		shift %= len(rest)
		copy(rest, append(slices.Clone(rest[shift:]), rest[:shift]...))
	}
}

// Order implements balance.Tiers.
func (n *zoneFirstTiers) Order(balance.Time, balance.Visit) []balance.Tier { return n.tiers }

// Begun implements balance.Tiers; attempts don't change the order.
func (n *zoneFirstTiers) Begun(balance.Time, string, uint64, bool, bool) bool { return false }

// Ended implements balance.Tiers.
func (n *zoneFirstTiers) Ended(balance.Time, balance.Stay) {}

// View implements balance.Tiers; there is nothing to show.
func (n *zoneFirstTiers) View() ([]balance.SiteView, float64) { return nil, 0 }
