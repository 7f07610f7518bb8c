package exchange

import "testing"

// The budget never exceeds its size, and a reservation is returned once, however often release is called.
func TestBudget(t *testing.T) {
	b := NewBudget(100)
	first, ok := b.Acquire(60)
	if !ok {
		t.Fatal("an unused budget refused a reservation")
	}
	if _, ok := b.Acquire(60); ok {
		t.Error("a reservation exceeded the budget")
	}
	first()
	first()
	if b.Available() != 100 {
		t.Errorf("%d bytes free after release, want 100", b.Available())
	}
	b.Adjust(-50)
	if _, ok := b.Acquire(60); ok || b.Available() != 50 {
		t.Error("a reduced budget still accepted the larger reservation")
	}
}
