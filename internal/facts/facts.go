// Package facts implements the state that routers share: an eventually consistent, replicated store of small facts. It defines how copies
// are merged, which copy wins, and which messages are sent to which peer (rumors, and anti-entropy by comparing digests). It does no I/O,
// reads no clock and starts no goroutines. A store has one owner and is not safe for concurrent use.
// docs/design/shared-state.md compares the design options.
package facts

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a fact. Its number is on the wire, so a number is never reused.
type Kind uint8

// The kinds of facts, each with the rule that decides between concurrent copies.
const (
	AdminState Kind = 1 // an operator's order for a cache server, InService or Drained; Drained wins, because it preserves a drain
	StartTime  Kind = 2 // start time of a cache server in Unix milliseconds; the latest wins: a server that may be cold is treated as cold
)

// String returns the kind's name as shown to operators.
func (k Kind) String() string {
	switch k {
	case AdminState:
		return "order"
	case StartTime:
		return "cold"
	}
	return strconv.Itoa(int(k))
}

// FormatValue formats a value of this kind for operators.
func (k Kind) FormatValue(value int64) string {
	switch {
	case k == AdminState && value == Drained:
		return "out"
	case k == AdminState && value == InService:
		return "back"
	case k == StartTime:
		return time.UnixMilli(value).UTC().Format(time.RFC3339)
	}
	return strconv.FormatInt(value, 10)
}

// Values of an AdminState fact.
const (
	InService int64 = 0 // the server is in service
	Drained   int64 = 1 // the server is drained
)

// Name identifies a fact.
type Name struct {
	Kind    Kind
	Subject string // the server's name, at most MaxSubjectBytes bytes
}

// Limits on a fact's size, so that any single fact fits into one datagram.
const (
	MaxSubjectBytes = 48
	maxIncarnations = 6 // incarnations that are remembered as writers of one fact
)

// Incarnation identifies an incarnation of a router: the writer of facts from a start without stored state until that state is lost. It is
// drawn at random, so that a router that has lost its state can't issue the same Dot for two writes.
type Incarnation uint32

// Dot identifies one write of a fact: the writer's incarnation and its count of writes to this fact, from 1.
type Dot struct {
	Life  Incarnation
	Count uint32
}

// Copy is a value of a fact with the write that produced it.
type Copy struct {
	Dot   Dot
	Value int64
	Since time.Duration // when it was written, by the local clock: the earliest time that any router reported
}

// Fact is the replicated state of a name: the concurrent copies, none of which supersedes another, and for each incarnation the number of
// its writes that have been seen (a version vector). A write that has been seen and is not among the copies has been superseded.
type Fact struct {
	Copies []Copy // by dot
	Seen   map[Incarnation]uint32
}

func byDot(a, b Copy) int {
	return cmp.Or(cmp.Compare(a.Dot.Life, b.Dot.Life), cmp.Compare(a.Dot.Count, b.Dot.Count))
}

// Merge merges two replicas of a fact. It is commutative, associative and idempotent as long as at most maxIncarnations have written the
// fact. Beyond that, incarnations without a copy and with the fewest writes are forgotten. An old copy may then return, but only as a
// concurrent one: the rule of its kind decides, and operators see both.
func Merge(a, b Fact) Fact {
	merged := Fact{Seen: maps.Clone(a.Seen)}
	if merged.Seen == nil {
		merged.Seen = map[Incarnation]uint32{}
	}
	for incarnation, count := range b.Seen {
		merged.Seen[incarnation] = max(merged.Seen[incarnation], count)
	}
	addSurviving := func(from, other Fact) {
		for _, c := range from.Copies {
			i := slices.IndexFunc(other.Copies, func(o Copy) bool { return o.Dot == c.Dot })
			if i < 0 && other.Seen[c.Dot.Life] >= c.Dot.Count {
				continue // superseded according to the other replica
			}
			if i >= 0 {
				c.Since = min(c.Since, other.Copies[i].Since)
				c.Value = max(c.Value, other.Copies[i].Value) // only a faulty peer sends two values for one write
			}
			if !slices.ContainsFunc(merged.Copies, func(o Copy) bool { return o.Dot == c.Dot }) {
				merged.Copies = append(merged.Copies, c)
			}
		}
	}
	addSurviving(a, b)
	addSurviving(b, a)
	slices.SortFunc(merged.Copies, byDot)
	merged.limitIncarnations()
	return merged
}

// limitIncarnations forgets incarnations beyond maxIncarnations: first those without a copy, the one with the fewest writes first. If a
// partition had more writers than that, it drops copies whose value another copy has as well, and then those with the fewest writes.
func (f *Fact) limitIncarnations() {
	for len(f.Seen) > maxIncarnations {
		weight := func(incarnation Incarnation) int {
			i := slices.IndexFunc(f.Copies, func(c Copy) bool { return c.Dot.Life == incarnation })
			if i < 0 {
				return 0
			}
			if slices.ContainsFunc(f.Copies, func(c Copy) bool { return c.Dot.Life != incarnation && c.Value == f.Copies[i].Value }) {
				return 1
			}
			return 2
		}
		victim := slices.MinFunc(slices.Collect(maps.Keys(f.Seen)), func(a, b Incarnation) int {
			return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(f.Seen[a], f.Seen[b]), cmp.Compare(a, b))
		})
		delete(f.Seen, victim)
		f.Copies = slices.DeleteFunc(f.Copies, func(c Copy) bool { return c.Dot.Life == victim })
	}
}

// Value returns the value that wins by the rule of the fact's kind. It returns false if the fact has no copies.
func (f Fact) Value() (int64, bool) {
	if len(f.Copies) == 0 {
		return 0, false
	}
	// For both kinds the greater value wins. A kind with another rule has to be handled here.
	return slices.MaxFunc(f.Copies, func(a, b Copy) int { return cmp.Compare(a.Value, b.Value) }).Value, true
}

// hash returns a hash of the fact's name, version vector and copies, without Since, so that equal facts have equal hashes at all routers.
func (f Fact) hash(n Name) uint64 {
	buf := append([]byte{byte(n.Kind)}, n.Subject...)
	for _, l := range slices.Sorted(maps.Keys(f.Seen)) {
		buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(append(buf, 0), uint32(l)), f.Seen[l])
	}
	for _, c := range f.Copies {
		buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(append(buf, 1), uint32(c.Dot.Life)), c.Dot.Count)
		buf = binary.BigEndian.AppendUint64(buf, uint64(c.Value))
	}
	return xxhash.Sum64(buf)
}

// Store is one router's replica of all facts.
type Store struct {
	incarnation Incarnation
	facts       map[Name]entry
	maxFacts    int
	filter      func(Name) bool // names that are accepted; nil: all
}

// entry is a fact with the hashes that digests are computed from.
type entry struct {
	Fact
	nameHash, contentHash uint64
}

func (s *Store) put(n Name, f Fact) { s.facts[n] = entry{f, hashName(n), f.hash(n)} }

// NewStore returns an empty store that holds at most maxFacts facts. The incarnation must be drawn at random at each start without stored
// state.
func NewStore(incarnation Incarnation, maxFacts int) *Store {
	return &Store{incarnation: incarnation, facts: map[Name]entry{}, maxFacts: maxFacts}
}

// Len returns the number of facts.
func (s *Store) Len() int { return len(s.facts) }

// Digest returns a digest of all facts. It is equal at routers with equal facts and, barring a hash collision, at no others.
func (s *Store) Digest() (sum uint64) {
	for _, f := range s.facts {
		sum += f.contentHash
	}
	return sum
}

// Names returns the names of all facts, sorted.
func (s *Store) Names() []Name {
	return slices.SortedFunc(maps.Keys(s.facts), byName)
}

func byName(a, b Name) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// Get returns the fact with the given name, including all its copies.
func (s *Store) Get(n Name) (Fact, bool) {
	f, ok := s.facts[n]
	return f.Fact, ok
}

// Write sets a fact to a value that supersedes all copies seen by this router. It returns false if the store is full or does not accept the
// name. A value that all copies already have is not written again, except for Drained: it must win over an InService that this
// router has not received yet.
func (s *Store) Write(now time.Duration, n Name, value int64) bool {
	previous, known := s.facts[n]
	f := previous.Fact
	if known && (n.Kind != AdminState || value != Drained) && !slices.ContainsFunc(f.Copies, func(c Copy) bool { return c.Value != value }) {
		return true
	}
	if !known && len(s.facts) >= s.maxFacts || !s.accepts(n) {
		return false
	}
	dot := Dot{s.incarnation, f.Seen[s.incarnation] + 1}
	seen := maps.Clone(f.Seen)
	if seen == nil {
		seen = map[Incarnation]uint32{}
	}
	seen[s.incarnation] = dot.Count
	f = Fact{Copies: []Copy{{dot, value, now}}, Seen: seen}
	f.limitIncarnations()
	s.put(n, f)
	return true
}

// Apply merges another router's replica of a fact into the store and reports whether that changed the fact.
func (s *Store) Apply(n Name, f Fact) bool {
	previous, known := s.facts[n]
	if !s.accepts(n) || len(f.Seen) == 0 || !known && len(s.facts) >= s.maxFacts {
		return false
	}
	merged := Merge(previous.Fact, f)
	if len(merged.Copies) == 0 { // only a faulty peer sends a fact whose copies supersede each other
		return false
	}
	s.put(n, merged)
	return s.facts[n].contentHash != previous.contentHash
}

// Retain removes all facts whose name the filter rejects, and rejects them from then on. Facts of a server that has been off the discovery
// list for longer than any router runs without a list are removed this way, and a router that still holds them can't bring them back.
func (s *Store) Retain(accepted func(Name) bool) {
	s.filter = accepted
	maps.DeleteFunc(s.facts, func(n Name, _ entry) bool { return !s.accepts(n) })
}

// accepts reports whether the store may hold a fact of this name.
func (s *Store) accepts(n Name) bool { return validName(n) && (s.filter == nil || s.filter(n)) }

func validName(n Name) bool {
	return (n.Kind == AdminState || n.Kind == StartTime) && n.Subject != "" && len(n.Subject) <= MaxSubjectBytes
}
