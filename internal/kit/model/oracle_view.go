package model

import "time"

// This file exposes the true state of the simulation, which an oracle may see and routers may not.

// Serves reports whether a node accepts and answers a router's requests.
func (n *Node) Serves(router int) bool {
	return n.up && !n.collapsed && !n.frozen && !n.draining && !n.Silent(router)
}

// Cached reports whether a read of a key would be a cache hit.
func (n *Node) Cached(key uint64) bool { return n.cache.Contains(key) }

// FetchPending reports whether a read of a key is waiting for the database.
func (n *Node) FetchPending(key uint64) bool { return len(n.pendingReads[key]) > 0 }

// CompletionTime estimates how long a job that arrived now would take to finish, including queueing. Running jobs are assumed to be
// half done.
func (n *Node) CompletionTime(work time.Duration) time.Duration {
	before := n.queuedWork
	if n.busy >= n.Model.Cores {
		before += n.runningWork / 2
	}
	return time.Duration(float64(before/time.Duration(n.Model.Cores)+work) / n.speed())
}

// FetchTime estimates how long a fetch that began now would take. Room is the number of further requests in this second
// that stay within the database's capacity.
func (w *World) FetchTime() (within time.Duration, room int) {
	d := w.db
	asked := d.requestsThisSecond
	if int64(w.Now()/time.Second) != d.currentSecond {
		asked = 0
	}
	queue := time.Duration(float64(len(d.waiting)) / d.capacity() * float64(time.Second))
	if d.stalls > 0 {
		queue += max(d.stallEnd-w.Now(), 0)
	}
	return queue + d.config.Time.D(), int(d.capacity()) - asked
}

// MeanWork returns the mean work of a request, as time at speed 1.
func (w *World) MeanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, c := range w.scenario.Classes {
		work, share = work+c.Share*float64(c.Work), share+c.Share
	}
	return time.Duration(work / share)
}
