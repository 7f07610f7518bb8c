package recovery

import "time"

// Phase is a stage of the recovery of a router after its start.
type Phase int

// The phases, in order. A router never goes back to an earlier one.
const (
	NotReady    Phase = iota // not ready: no list to serve from
	Serving                  // serving, from a list that may be stale or without any result seen yet
	FullService              // full service
)

// String returns the phase as stats and the log show it.
func (p Phase) String() string { return [...]string{"nothing", "some", "full"}[p] }

// Event is an input of a Machine.
type Event int

// The events.
const (
	Tick          Event = iota // time has passed
	ListReceived               // discovery has delivered a list
	RequestServed              // a client has received a successful response
	RequestFailed              // a request was rejected or failed
	CaughtUp                   // the router has caught up with the state that routers share
)

// Machine decides what a router may do after its start. Without any further event, time alone (Tick) always leads out
// of Serving, and out of NotReady if a list is known from before; Wait returns when. Handle must be called by one
// goroutine at a time.
type Machine struct {
	ListKnown bool // a list is known from before the start
	CatchUp   bool // routers share state, and others may know more

	began, servingSince time.Duration // since the start
	phase               Phase
	listReceived        bool
	consecutiveAnswers  int
}

const (
	listTimeout           = 500 * time.Millisecond // for the first list of discovery, if a list is known from before
	catchUpTimeout        = time.Second            // for the shared state: a router that serves without it may send requests against an order
	minConsecutiveAnswers = 20                     // successful responses in a row that end the recovery at once
	settlePeriod          = 2 * time.Second        // of serving from discovery's own list, whatever the responses
	noDiscoveryPeriod     = 30 * time.Second       // of serving without discovery: waiting longer would not improve anything
)

// Handle processes an event that happened at now, a time since the start, and returns the resulting phase.
func (m *Machine) Handle(now time.Duration, e Event) Phase {
	switch e {
	case ListReceived:
		m.listReceived = true
	case RequestServed:
		m.consecutiveAnswers++
	case RequestFailed:
		m.consecutiveAnswers = 0
	case CaughtUp:
		m.CatchUp = false
	}
	if m.phase == NotReady && (m.listReceived || m.ListKnown && now >= listTimeout) && (!m.CatchUp || now >= catchUpTimeout) {
		m.phase, m.servingSince, m.consecutiveAnswers = Serving, now, 0
	}
	serving := now - m.servingSince
	if m.phase == Serving &&
		(m.listReceived && (m.consecutiveAnswers >= minConsecutiveAnswers || serving >= settlePeriod) || serving >= noDiscoveryPeriod) {
		m.phase = FullService
	}
	return m.phase
}

// Wait returns how long until time alone changes the phase; false if only discovery can change it.
func (m *Machine) Wait(now time.Duration) (time.Duration, bool) {
	switch {
	case m.phase == NotReady && m.CatchUp && (m.listReceived || m.ListKnown):
		return max(catchUpTimeout-now, 0), true
	case m.phase == NotReady && m.ListKnown:
		return max(listTimeout-now, 0), true
	case m.phase == Serving && m.listReceived:
		return max(m.servingSince+settlePeriod-now, 0), true
	case m.phase == Serving:
		return max(m.servingSince+noDiscoveryPeriod-now, 0), true
	}
	return 0, false
}
