package registry

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// Beats is what one registry has heard of servers: the last call of each, and which of them the config store has yet to be told of. It decides
// which calls are acknowledged without the log. It has no clock and does no I/O, and is played by the process and by the simulation alike.
type Beats struct {
	last  map[string]beat
	heard []string // since the config store was last told
}

// beat is the last call of a server.
type beat struct {
	number uint64
	at     time.Time
}

const mostBeats = 65536

// NewBeats returns a registry's account that has heard nobody.
func NewBeats() *Beats { return &Beats{last: map[string]beat{}} }

// Take notes a call; late tells that a later one of the same server came before it.
func (b *Beats) Take(s clusterstate.Server, now time.Time) (late bool) {
	old, known := b.last[s.ID]
	if known && s.Beat < old.number {
		return true
	}
	if known || len(b.last) < mostBeats {
		b.last[s.ID] = beat{s.Beat, now}
		b.heard = append(b.heard, s.ID)
	}
	return false
}

// Settled tells whether a call may be acknowledged at once: an open server's that comes late, or that says what a copy in touch holds of it. What
// else a server says is acknowledged by the log alone, and so is every word that it leaves: an earlier call of it may have failed.
func Settled(s clusterstate.Server, late bool, held clusterstate.Server, listed, inTouch bool) bool {
	if s.State != clusterstate.Open {
		return false
	}
	return late || listed && inTouch && held.Same(s)
}

// Left forgets a server that has left in order.
func (b *Beats) Left(id string) { delete(b.last, id) }

// Heard returns who was heard since it was last asked.
func (b *Beats) Heard() []string {
	heard := b.heard
	b.heard = nil
	return heard
}

// Silent tells whether a server has not been heard here for a span.
func (b *Beats) Silent(id string, span time.Duration, now time.Time) bool {
	last, known := b.last[id]
	return !known || now.Sub(last.at) > span
}

// Forget lets go of those that have been silent for a span.
func (b *Beats) Forget(span time.Duration, now time.Time) {
	for id := range b.last {
		if b.Silent(id, span, now) {
			delete(b.last, id)
		}
	}
}
