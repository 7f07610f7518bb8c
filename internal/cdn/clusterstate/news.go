package clusterstate

import (
	"fmt"
	"time"
)

// Change is one command of the log as it is handed on.
type Change struct {
	Index uint64
	Data  []byte
}

// Ask is a process's question for news, with the version that it has.
type Ask struct {
	Have    uint64
	Barrier bool   // the answer is to hold all that was acknowledged before it was asked for
	Router  Router // who asks, if it is a cache router
	HoldMS  int64  // how long the question may wait for news
}

// Needs is what a cache router would ask of the servers of services whose rate is bounded, in requests a second, whether it may or not.
type Needs struct {
	Node string
	Per  map[string]float64 // by service
}

// News is the answer: what has changed, or all of it for one who is too far behind.
type News struct {
	State   *State
	Changes []Change
	Core    []string // where the core machines are
	Fresh   bool     // the one who answers follows a leader that has a majority
	// Proven: whoever holds Index holds all that had been acknowledged AgeMS before the question came; less than 0: after it, for a question may
	// be held. Neighbours hand the proof on.
	Proven bool
	AgeMS  int64
	Index  uint64 // what the one who answers holds; a cut answer brings less
	WallMS int64  // true time at the answer, as far as the one who answers knows, in milliseconds since the start of 1970; 0: not told
}

// Prove states that whoever holds Index holds all that had been acknowledged by a moment of the answerer's steady clock, as is the one at
// which the question came. Of two proofs the younger one stays; an age is rounded up.
func (n *News) Prove(by, came time.Time) {
	age := came.Sub(by)
	ms := age.Milliseconds()
	if age > 0 && age%time.Millisecond > 0 { // a division rounds one below 0 up by itself
		ms++
	}
	if !n.Proven || ms < n.AgeMS {
		n.Proven, n.AgeMS = true, ms
	}
}

// ProofOf is the moment of the asker's steady clock that an answer proves to one who holds Index: the age is counted from the begin of
// the question, for it came after that. The zero time: it proves nothing.
func (n *News) ProofOf(begun time.Time) time.Time {
	if !n.Proven {
		return time.Time{}
	}
	return begun.Add(-time.Duration(n.AgeMS) * time.Millisecond)
}

// History is a state together with its last changes, for those who ask what is new.
type History struct {
	State   *State
	reader  reader
	changes []Change
	bytes   int
}

const (
	mostChanges     = 4096
	mostChangeBytes = 8 << 20
	mostInOneAnswer = 512
)

// NewHistory begins with a state.
func NewHistory(s *State) *History { return &History{State: s} }

// Apply takes a change on. One that is held already changes nothing.
func (h *History) Apply(index uint64, data []byte) (Command, Outcome, error) {
	if index <= h.State.Index {
		return Command{}, Outcome{}, nil
	}
	before := h.State.Index
	c, err := Decode(data)
	if err != nil {
		return c, Outcome{Status: Invalid, Text: err.Error()}, err
	}
	version, body := h.State.Version, h.State.Body
	out := h.State.apply(index, c, &h.reader)
	c.Taken = out.taken
	if out.unreadable {
		h.State.Index = before
		return c, out, fmt.Errorf("%s", out.Text)
	}
	if c.Configures() && h.State.Version == version { // it was refused, or is known
		data = nil
	} else if c.Put != nil {
		if d := Diff(version, h.State.Version, body, c.Put, h.State.Taken[len(h.State.Taken)-1].Digest); d != nil {
			data = Command{Change: d}.Encode()
		}
	}
	h.changes = append(h.changes, Change{index, data})
	h.bytes += len(data)
	for len(h.changes) > mostChanges || h.bytes > mostChangeBytes && len(h.changes) > 1 {
		h.bytes -= len(h.changes[0].Data)
		h.changes[0].Data = nil
		h.changes = h.changes[1:]
	}
	return c, out, nil
}

// Order makes the command that puts a configuration: what it changes of the one in force, if it builds on that, else the whole
// of it. An invalid one is an error.
func (h *History) Order(body []byte) (Command, error) {
	m, digest, err := h.reader.read(body)
	if err != nil {
		return Command{}, err
	}
	if m.Base == h.State.Version {
		if d := Diff(m.Base, m.Version, h.State.Body, body, digest); d != nil {
			return Command{Change: d}, nil
		}
	}
	return Command{Put: body}, nil
}

// Since returns what one who holds a version lacks, or the first part of it: n.Index tells what all of it would bring. The state in it,
// if any, is a copy.
func (h *History) Since(have uint64) News {
	n := News{Index: h.State.Index}
	if have >= h.State.Index {
		return n
	}
	first := len(h.changes)
	for first > 0 && h.changes[first-1].Index > have {
		first--
	}
	// Indices skip entries that change no state, so the one before the first is held only if the ring has it or begins with it.
	if first == 0 && (len(h.changes) == 0 || have == 0 || h.changes[0].Index != have+1) {
		n.State = h.State.Clone()
		return n
	}
	last := min(len(h.changes), first+mostInOneAnswer)
	n.Changes = append([]Change(nil), h.changes[first:last]...)
	return n
}
