package harness

import (
	"slices"
	"testing"
	"time"

	"cedarmast/internal/kit/rig"
)

// GiveOrder gives an operator's order at a router and fails the test if the router does not accept it.
func GiveOrder(t testing.TB, c *rig.Control, router int, node string, out bool) {
	t.Helper()
	if status, err := c.SendOperatorOrder(router, node, out); status != 200 || err != nil {
		t.Errorf("an order at router %d: %d, %v", router, status, err)
	}
}

// KnownOrders returns what each of the routers holds of the order for a node: "out", "back", or "" if it knows none or does not answer.
func KnownOrders(c *rig.Control, node string, who ...int) (words []string) {
	for _, k := range who {
		word := ""
		if r, err := c.Facts(k); err == nil {
			for _, f := range r.Facts {
				if f.Kind == "order" && f.Subject == node {
					word = f.Says
				}
			}
		}
		words = append(words, word)
	}
	return words
}

// AwaitAgreement waits until the routers all hold the given word for a node and logs how long that took. It fails the test after the timeout.
func AwaitAgreement(t testing.TB, c *rig.Control, what, node, word string, timeout time.Duration, who ...int) {
	t.Helper()
	started := time.Now()
	for {
		words := KnownOrders(c, node, who...)
		if !slices.ContainsFunc(words, func(said string) bool { return said != word }) {
			t.Logf("%s: after %v", what, time.Since(started).Round(10*time.Millisecond))
			return
		}
		if time.Since(started) > timeout {
			t.Errorf("%s: after %v: %q", what, timeout, words)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// RecordOrders makes the ledger count sends of the routers to a node that is out as stale from now on, wherever the order was given.
func RecordOrders(c *rig.Control, who []int, node string, out bool) {
	time.Sleep(150 * time.Millisecond) // requests sent before have arrived
	for _, k := range who {
		c.RecordOperatorOrder(k, node, out)
	}
}
