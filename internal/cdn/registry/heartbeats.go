package registry

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// Heartbeats tracks the servers that one registry has heard: the last heartbeat of each, and the servers not yet reported to
// the config store. It decides which heartbeats are acknowledged without a log entry. It reads no clock and does no
// I/O; the registry process and the simulation share it.
type Heartbeats struct {
	last       map[string]heartbeat
	unreported []string // servers heard since the last report to the config store
}

// heartbeat is the last heartbeat of a server.
type heartbeat struct {
	number uint64 // sequence number set by the server
	at     time.Time
}

// maxTrackedServers bounds the servers whose last heartbeat is kept.
const maxTrackedServers = 65536

// NewHeartbeats returns an empty tracker.
func NewHeartbeats() *Heartbeats { return &Heartbeats{last: map[string]heartbeat{}} }

// Record records a heartbeat. It returns true for an outdated one: a later heartbeat of the same server arrived before
// it.
func (b *Heartbeats) Record(s clusterstate.Server, now time.Time) (outdated bool) {
	previous, known := b.last[s.ID]
	if known && s.Beat < previous.number {
		return true
	}
	if known || len(b.last) < maxTrackedServers {
		b.last[s.ID] = heartbeat{s.Beat, now}
		b.unreported = append(b.unreported, s.ID)
	}
	return false
}

// CanAcknowledge reports whether a heartbeat may be acknowledged without a log entry. It must be of an open server, and either
// outdated or equal to the server's entry in a replica that is connected to the config stores. Any other change is
// acknowledged only after it is committed, and so is every announcement that a server is closing: an earlier attempt to
// announce it may have failed.
func CanAcknowledge(s clusterstate.Server, outdated bool, known clusterstate.Server, listed, connected bool) bool {
	if s.State != clusterstate.ServerOpen {
		return false
	}
	return outdated || listed && connected && known.SameState(s)
}

// Remove forgets a server that was removed at its own request.
func (b *Heartbeats) Remove(id string) { delete(b.last, id) }

// TakeUnreported returns the servers heard since the previous call, and clears the list.
func (b *Heartbeats) TakeUnreported() []string {
	heard := b.unreported
	b.unreported = nil
	return heard
}

// Silent reports whether a server has not been heard here for longer than timeout.
func (b *Heartbeats) Silent(id string, timeout time.Duration, now time.Time) bool {
	last, known := b.last[id]
	return !known || now.Sub(last.at) > timeout
}

// Expire drops the servers that have been silent for longer than timeout.
func (b *Heartbeats) Expire(timeout time.Duration, now time.Time) {
	for id := range b.last {
		if b.Silent(id, timeout, now) {
			delete(b.last, id)
		}
	}
}
