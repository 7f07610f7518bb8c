package recovery

import "time"

// Phase is a stage of the recovery of a router after its start.
type Phase int

// The phases, in order. A router never goes back to an earlier one.
const (
	Nothing Phase = iota // not ready: no list to serve from
	Some                 // serving, from a list that may be stale or without any result seen yet
	Full                 // full service
)

// String returns the phase as stats and the log show it.
func (p Phase) String() string { return [...]string{"nothing", "some", "full"}[p] }

// Event is an input of a Machine.
type Event int

// The events.
const (
	Tick     Event = iota // time has passed
	Told                  // discovery has delivered a list
	Answered              // a client has received a successful response
	Failed                // a request was rejected or failed
	Caught                // the router has caught up with the state that routers share
)

// Machine decides what a router may do after its start. Without any further event, time alone (Tick) always leads out
// of Some, and out of Nothing if a list is known from before; Wait returns when. Handle must be called by one
// goroutine at a time.
type Machine struct {
	Known  bool // a list is known from before the start
	Behind bool // routers share state, and others may know more

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
	case Told:
		m.listReceived = true
	case Answered:
		m.consecutiveAnswers++
	case Failed:
		m.consecutiveAnswers = 0
	case Caught:
		m.Behind = false
	}
	if m.phase == Nothing && (m.listReceived || m.Known && now >= listTimeout) && (!m.Behind || now >= catchUpTimeout) {
		m.phase, m.servingSince, m.consecutiveAnswers = Some, now, 0
	}
	serving := now - m.servingSince
	if m.phase == Some && (m.listReceived && (m.consecutiveAnswers >= minConsecutiveAnswers || serving >= settlePeriod) || serving >= noDiscoveryPeriod) {
		m.phase = Full
	}
	return m.phase
}

// Wait returns how long until time alone changes the phase; false if only discovery can change it.
func (m *Machine) Wait(now time.Duration) (time.Duration, bool) {
	switch {
	case m.phase == Nothing && m.Behind && (m.listReceived || m.Known):
		return max(catchUpTimeout-now, 0), true
	case m.phase == Nothing && m.Known:
		return max(listTimeout-now, 0), true
	case m.phase == Some && m.listReceived:
		return max(m.servingSince+settlePeriod-now, 0), true
	case m.phase == Some:
		return max(m.servingSince+noDiscoveryPeriod-now, 0), true
	}
	return 0, false
}
