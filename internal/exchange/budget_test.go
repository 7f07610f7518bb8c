package exchange

import "testing"

// Long answers are held up to a number of bytes; each gives its own back once, however often it is let go.
func TestBudget(t *testing.T) {
	b := NewBudget(100)
	first, ok := b.Take(60)
	if !ok {
		t.Fatal("no room in an empty budget")
	}
	if _, ok := b.Take(60); ok {
		t.Error("more than there is")
	}
	first()
	first()
	if b.Left() != 100 {
		t.Errorf("%d left", b.Left())
	}
	b.Grow(-50)
	if _, ok := b.Take(60); ok || b.Left() != 50 {
		t.Error("a smaller budget holds as much")
	}
}
