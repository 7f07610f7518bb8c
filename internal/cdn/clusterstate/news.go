package clusterstate

import (
	"fmt"
	"time"
)

// Change is one command of the log as it is sent to other processes.
type Change struct {
	Index uint64
	Data  []byte // the encoded command; empty if it changed nothing but the index
}

// Ask is a process's request for the changes since the index that it holds.
type Ask struct {
	Have    uint64 // index of the last command that the requester has applied
	Barrier bool   // the reply must contain all that was acknowledged before the request
	Router  Router // the requester, if it is a cache router
	HoldMS  int64  // how long the request may be held until there are changes, in milliseconds
}

// Needs is a cache router's demand on the services whose rate is limited: the requests per second that it would send without a limit.
type Needs struct {
	Node string
	Per  map[string]float64 // by service
}

// News is the reply to Ask: the changes since Have, or the whole state for a requester that is too far behind.
type News struct {
	State   *State
	Changes []Change
	Core    []string // addresses of the core machines
	Fresh   bool     // the sender follows a leader that has a majority
	// Proven means that a process that holds Index holds all that had been acknowledged AgeMS before the request arrived. AgeMS may be
	// negative (after the arrival), because a request may be held. Neighbours pass the proof on.
	Proven bool
	AgeMS  int64  // in milliseconds
	Index  uint64 // index that the sender holds; a reply that is cut short brings the requester less far
	WallMS int64  // the true time of the reply as the sender knows it, in milliseconds since the start of 1970; 0: unknown
}

// Bytes that parts of a state take beside its configuration's text; they are estimates.
const (
	serverBytes = 512
	routerBytes = 256
	takenBytes  = 64
)

// SizeBytes returns about how many bytes a state takes.
func (s *State) SizeBytes() int64 {
	return int64(len(s.Body) + serverBytes*(len(s.Servers)+len(s.Left)) + routerBytes*(len(s.Routers)+len(s.Roster)) + takenBytes*len(s.Taken))
}

// ReplyBytes returns about how many bytes the reply takes once it is encoded. It implements peerrpc.Sized.
func (n *News) ReplyBytes() (bytes int64) {
	if n.State != nil {
		bytes = n.State.SizeBytes()
	}
	for _, change := range n.Changes {
		bytes += int64(len(change.Data))
	}
	return bytes
}

// SetProof states that a process that holds Index holds all that had been acknowledged by provenAt, in the reply to a request that arrived
// at the moment arrived. Both are readings of the sender's monotonic clock. Of two proofs the newer one is kept. The age is rounded up to
// milliseconds.
func (n *News) SetProof(provenAt, arrived time.Time) {
	age := arrived.Sub(provenAt)
	ms := age.Milliseconds()
	if age > 0 && age%time.Millisecond > 0 { // integer division already rounds a negative age up
		ms++
	}
	if !n.Proven || ms < n.AgeMS {
		n.Proven, n.AgeMS = true, ms
	}
}

// ProvenAt returns the moment by which the reply proves a holder of Index to be current, on the requester's monotonic clock. The age is
// counted from when the request was started, which is before it arrived. The zero time means that nothing is proven.
func (n *News) ProvenAt(started time.Time) time.Time {
	if !n.Proven {
		return time.Time{}
	}
	return started.Add(-time.Duration(n.AgeMS) * time.Millisecond)
}

// History is a state with its last changes, from which requests for changes are answered.
type History struct {
	State   *State
	reader  reader
	changes []Change
	bytes   int
}

const (
	maxChanges         = 4096
	maxChangeBytes     = 8 << 20
	maxChangesPerReply = 512
)

// NewHistory returns a history that starts with a state and holds no changes yet.
func NewHistory(s *State) *History { return &History{State: s} }

// Apply applies a change to the state and records it. A change that was applied before has no effect. It fails if the change can't be
// decoded, or if it is a delta that does not apply to this replica; the state is then unchanged.
func (h *History) Apply(index uint64, data []byte) (Command, Outcome, error) {
	if index <= h.State.Index {
		return Command{}, Outcome{}, nil
	}
	previousIndex := h.State.Index
	c, err := Decode(data)
	if err != nil {
		return c, Outcome{Status: StatusInvalid, Text: err.Error()}, err
	}
	version, body := h.State.Version, h.State.Body
	out := h.State.apply(index, c, &h.reader)
	c.Taken = out.installed
	if out.deltaFailed {
		h.State.Index = previousIndex
		return c, out, fmt.Errorf("%s", out.Text)
	}
	if c.HasConfig() && h.State.Version == version { // it was refused, or is a repeat
		data = nil
	} else if c.Put != nil {
		if d := Diff(version, h.State.Version, body, c.Put, h.State.Taken[len(h.State.Taken)-1].Digest); d != nil {
			data = Command{Change: d}.Encode()
		}
	}
	h.changes = append(h.changes, Change{index, data})
	h.bytes += len(data)
	for len(h.changes) > maxChanges || h.bytes > maxChangeBytes && len(h.changes) > 1 {
		h.bytes -= len(h.changes[0].Data)
		h.changes[0].Data = nil
		h.changes = h.changes[1:]
	}
	return c, out, nil
}

// ConfigCommand returns the command that puts a configuration: a delta if it is based on the configuration in force and a delta is worth
// it, else the whole body. An invalid configuration is an error, and so is one whose text CheckText refuses.
func (h *History) ConfigCommand(body []byte) (Command, error) {
	if err := h.checkText(body); err != nil {
		return Command{}, err
	}
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

// firstAfter returns the position of the first recorded change after an index.
func (h *History) firstAfter(index uint64) int {
	first := len(h.changes)
	for first > 0 && h.changes[first-1].Index > index {
		first--
	}
	return first
}

// lacksChangesSince reports whether changes after an index may be missing before the recorded one at position first. Indices skip log
// entries that change no state. So it is certain that no change between have and the first recorded one is missing only if an older change
// is recorded as well, or if the first one is at have+1.
func (h *History) lacksChangesSince(first int, have uint64) bool {
	return first == 0 && (len(h.changes) == 0 || have == 0 || h.changes[0].Index != have+1)
}

// transferCopies is how often a whole state is held while it is sent: as a clone, encoded, and on its way.
const transferCopies = 3

// TransferBytes returns about how many bytes it takes to send the whole state, if Since would return that; otherwise 0.
func (h *History) TransferBytes(have uint64) int64 {
	if have >= h.State.Index || !h.lacksChangesSince(h.firstAfter(have), have) {
		return 0
	}
	return transferCopies * h.State.SizeBytes()
}

// Since returns the changes after the index have, or the first part of them; Index in the result is where all of them lead. If the changes
// are no longer held, the result contains a copy of the state instead.
func (h *History) Since(have uint64) News {
	n := News{Index: h.State.Index}
	if have >= h.State.Index {
		return n
	}
	first := h.firstAfter(have)
	if h.lacksChangesSince(first, have) {
		n.State = h.State.Clone()
		return n
	}
	last := min(len(h.changes), first+maxChangesPerReply)
	n.Changes = append([]Change(nil), h.changes[first:last]...)
	return n
}
