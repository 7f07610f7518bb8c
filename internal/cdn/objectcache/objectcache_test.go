package objectcache

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	t0  = time.Unix(1000, 0)
	key = Key{"shop", "a", "/x/1", ""}
)

func object(index uint64, at time.Time) *Copy {
	return &Copy{Body: []byte("body"), ETag: `"1"`, Labels: []string{"red", "big"}, Shelf: 20 * time.Second, At: at, Index: index}
}

func TestGrades(t *testing.T) {
	c := New(1 << 20)
	c.Put(key, object(1, t0))
	for after, want := range map[time.Duration]Grade{0: Fresh, 14 * time.Second: Fresh, 15 * time.Second: Ageing, 21 * time.Second: Ageing, 22 * time.Second: Stale} {
		_, got := c.Get(key, t0.Add(after), 1500*time.Millisecond, "")
		assert.Equal(t, got, want, after.String())
	}
	_, got := c.Get(Key{}, t0, 0, "")
	assert.Equal(t, got, NotThere)
}

// A purge ends copies that were asked for before it, also one that comes in later; what was asked for after it stays.
func TestPurges(t *testing.T) {
	cases := []struct {
		name            string
		host, path, tag string
		ends            bool
	}{
		{"its path", "A", "/x/1", "", true}, {"another path", "a", "/x/2", "", false}, {"another host", "b", "/x/1", "", false},
		{"its tag", "", "", "red", true}, {"its other tag", "", "", "big", true}, {"another tag", "", "", "blue", false},
	}
	for _, c := range cases {
		for _, when := range []string{"stored", "on its way", "asked for after it"} {
			cache := New(1 << 20)
			index := uint64(5)
			if when == "asked for after it" {
				index = 7
			}
			if when == "stored" {
				assert.Assert(t, cache.Put(key, object(index, t0)))
			}
			cache.Purge(7, c.host, c.path, c.tag)
			if when != "stored" {
				cache.Put(key, object(index, t0))
			}
			_, grade := cache.Get(key, t0, 0, "")
			assert.Equal(t, grade == NotThere, c.ends && index < 7, "%s, %s", c.name, when)
		}
	}
}

// Purges that are no longer remembered count for everything asked for before them.
func TestForgottenPurges(t *testing.T) {
	c := New(1 << 20)
	for i := range uint64(mostPurges + 10) {
		c.Purge(100+i, "other", "/", "")
	}
	assert.Assert(t, !c.Put(key, object(50, t0)))
	assert.Assert(t, c.Put(key, object(200, t0)))
	c.Forget(9000)
	_, grade := c.Get(key, t0, 0, "")
	assert.Equal(t, grade, NotThere)
	assert.Assert(t, !c.Put(key, object(8999, t0)))
}

func TestMemoryIsBounded(t *testing.T) {
	c := New(64 << 10)
	for i := range 1000 {
		c.Put(Key{Path: fmt.Sprint(i)}, object(1, t0))
	}
	n, bytes := c.Size()
	assert.Assert(t, bytes <= 64<<10 && n > 50, "%d %d", n, bytes)
	assert.Equal(t, len(c.places), n)
	assert.Equal(t, len(c.labels["red"]), n)
	assert.Assert(t, !c.Put(key, &Copy{Body: make([]byte, 40<<10)}))
}

// What is wanted is asked about before it ends, under a request that it answered; what nobody wants is let go after two times.
func TestDue(t *testing.T) {
	c := New(1 << 20)
	c.Put(key, object(1, t0))
	c.Get(key, t0.Add(time.Second), 0, "try-1")
	assert.Equal(t, len(c.Due(t0.Add(14*time.Second), 9)), 0)
	at := t0
	for turn, by := range []string{"try-1", ""} {
		at = at.Add(15 * time.Second)
		all := c.Due(at, 9)
		assert.Equal(t, len(all), 1, "turn %d", turn)
		assert.Equal(t, all[0].By, by)
		assert.Equal(t, len(c.Due(at, 9)), 0, "once each")
		again := *all[0].Copy
		again.At = at
		c.Put(key, &again)
	}
	assert.Equal(t, len(c.Due(at.Add(15*time.Second), 9)), 0)
	lent := object(1, at)
	lent.Lent = true
	c.Put(Key{Path: "lent"}, lent)
	c.Get(Key{Path: "lent"}, at, 0, "try-2")
	assert.Equal(t, len(c.Due(at.Add(time.Hour), 9)), 0, "its owner sees to it")
	older := object(1, t0)
	assert.Assert(t, !c.Put(key, older), "an older answer that comes late replaces nothing")
}
