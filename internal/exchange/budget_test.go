package exchange

import "testing"

// The budget never exceeds its size, and a reservation is returned once, however often release is called.
func TestBudget(t *testing.T) {
	b := NewBudget(100)
	first, ok := b.Take(60)
	if !ok {
		t.Fatal("an unused budget refused a reservation")
	}
	if _, ok := b.Take(60); ok {
		t.Error("a reservation exceeded the budget")
	}
	first()
	first()
	if b.Left() != 100 {
		t.Errorf("%d bytes free after release, want 100", b.Left())
	}
	b.Grow(-50)
	if _, ok := b.Take(60); ok || b.Left() != 50 {
		t.Error("a reduced budget still accepted the larger reservation")
	}
}
