package edge

import (
	"maps"
	"slices"

	"cedarmast/balance"
)

// nearFirst draws in the own zone first, then in the others: bytes between zones are dear. It is an exception to the one
// draw over all, stated in docs/design/network.md.
type nearFirst struct {
	zone  string
	order []balance.Tier
}

func (n *nearFirst) Listed(_ balance.Time, up map[string]int) {
	n.order = n.order[:0]
	if up[n.zone] > 0 {
		n.order = append(n.order, balance.Tier{Zone: n.zone, Part: 1})
	}
	for _, zone := range slices.Sorted(maps.Keys(up)) {
		if zone != n.zone && up[zone] > 0 {
			n.order = append(n.order, balance.Tier{Zone: zone, Part: 1})
		}
	}
	if len(n.order) > 2 { // each router has its own second: not all of a lost zone go to one
		rest := n.order[1:]
		if n.order[0].Zone != n.zone {
			rest = n.order
		}
		turn := 0
		for _, b := range []byte(n.zone) {
			turn += int(b)
		}
		turn %= len(rest)
		copy(rest, append(slices.Clone(rest[turn:]), rest[:turn]...))
	}
}

func (n *nearFirst) Order(balance.Time, balance.Visit) []balance.Tier { return n.order }

func (n *nearFirst) Begun(balance.Time, string, uint64, bool, bool) bool { return false }

func (n *nearFirst) Ended(balance.Time, balance.Stay) {}

func (n *nearFirst) View() ([]balance.SiteView, float64) { return nil, 0 }
