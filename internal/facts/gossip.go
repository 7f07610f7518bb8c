package facts

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TickInterval is the interval between calls of a Gossiper's Tick. CatchUpInterval is the interval until the router is synced, since
// clients wait for that.
const (
	TickInterval    = 200 * time.Millisecond
	CatchUpInterval = 50 * time.Millisecond
)

// Limits on what a router sends. With nothing new it sends one digest of 72 bytes per tick, however many routers and facts there are.
const (
	catchUpDigests        = 4  // digests per tick after news has arrived, when the router may lack more facts
	maxNewsPerTick        = 4  // datagrams with news per tick
	maxRepliesPerTick     = 24 // datagrams in answer to peers per tick, which bounds the cost of a flood of queries
	maxFactsSentOutright  = 8  // facts under a prefix that are sent at once; with more, the digests of its children are compared first
	maxDatagramsPerAnswer = 8  // datagrams with facts under one prefix
	maxPrefixDepth        = 8  // length of a prefix in hexadecimal digits
)

// prefix is the set of names whose hash starts with the given hexadecimal digits. Prefixes form a tree of sixteen children per node.
type prefix struct {
	bits  uint64
	depth int
}

// truncate returns the ancestor of the prefix at the given depth.
func (p prefix) truncate(depth int) prefix {
	if depth == 0 {
		return prefix{}
	}
	return prefix{p.bits &^ (1<<(64-4*depth) - 1), depth}
}

func (p prefix) contains(hash uint64) bool { return prefix{hash, 0}.truncate(p.depth).bits == p.bits }

func (p prefix) child(i int) prefix { return prefix{p.bits | uint64(i)<<(60-4*p.depth), p.depth + 1} }

// hashName returns the hash that places a name in the tree of prefixes.
func hashName(n Name) uint64 { return xxhash.Sum64(append([]byte{byte(n.Kind)}, n.Subject...)) }

// Message is a datagram to the router with index To.
type Message struct {
	To   int
	Text []byte
}

// Gossiper replicates a store's facts to the other routers by gossip. News goes to a few random peers, each of which forwards it in turn.
// Anti-entropy compares digests with one random peer after another and finds whatever the forwarding lost. A router that returns with no
// facts, or with old copies, catches up by the same comparison, prefix by prefix. It depends on no single peer: the next digest goes to
// another one.
type Gossiper struct {
	*Store
	routerCount, self int
	rng               *rand.Rand
	pendingNews       map[Name]int // remaining sends of each fact with news
	repliesSent       int          // datagrams since the last tick
	learnedSinceTick  int          // facts changed by peers since the last tick
	synced            bool
	changed           map[Name]bool // facts changed by peers since the last call of TakeChanges
	learnedTotal      int64         // changes of facts by peers since the start
}

// NewGossiper returns the gossiper of the router with index self, from 0, among routerCount routers.
func NewGossiper(s *Store, routerCount, self int, seed uint64) *Gossiper {
	return &Gossiper{Store: s, routerCount: routerCount, self: self,
		rng: rand.New(rand.NewPCG(seed, uint64(self))), pendingNews: map[Name]int{}, changed: map[Name]bool{}}
}

// Synced reports whether this router's facts have been equal to those of a peer that was itself synced, or MarkSynced has been called. It
// stays true from then on.
func (s *Gossiper) Synced() bool { return s.synced }

// LearnedTotal returns how many times a peer's message has changed a fact since the start.
func (s *Gossiper) LearnedTotal() int64 { return s.learnedTotal }

// HasChanges reports whether TakeChanges would return any names.
func (s *Gossiper) HasChanges() bool { return len(s.changed) > 0 }

// TakeChanges returns the names of the facts that peers have changed since the last call, sorted, and clears them.
func (s *Gossiper) TakeChanges() []Name {
	names := slices.SortedFunc(maps.Keys(s.changed), byName)
	clear(s.changed)
	return names
}

// NextTick returns the interval until the next call of Tick.
func (s *Gossiper) NextTick() time.Duration {
	if s.synced {
		return TickInterval
	}
	return CatchUpInterval
}

// MarkSynced marks this router as synced because no peer can be reached that could have newer facts.
func (s *Gossiper) MarkSynced() { s.synced = true }

// Set writes a value, as Store.Write does, and queues the fact to be sent to peers.
func (s *Gossiper) Set(now time.Duration, n Name, value int64) bool {
	if !s.Write(now, n, value) {
		return false
	}
	s.pendingNews[n] = s.newsRepeats()
	return true
}

// newsRepeats returns how many times a router sends a changed fact, each time to one random peer: twice the number of
// doublings after which all routers are reached, plus one.
func (s *Gossiper) newsRepeats() int { return 2*bits.Len(uint(s.routerCount)) + 1 }

// randomPeer returns the index of a random router other than this one.
func (s *Gossiper) randomPeer() int {
	to := s.rng.IntN(s.routerCount - 1)
	if to >= s.self {
		to++
	}
	return to
}

// Tick starts the next interval and returns its datagrams: news, and digests to random peers. The caller calls it again after NextTick.
func (s *Gossiper) Tick(now time.Duration) (out []Message) {
	if s.repliesSent = 0; s.routerCount < 2 {
		return nil
	}
	digests := 1
	if s.learnedSinceTick > 0 || s.Len() == 0 || !s.synced { // it may lack facts: some peers may be down and some answers lost
		digests = catchUpDigests
	}
	s.learnedSinceTick = 0
	out = s.sendNews(now)
	query := s.digest(prefix{})
	if !s.synced {
		query.typ = typeDigestQuery
	}
	for data := query.encodeDigest(); digests > 0; digests-- {
		out = append(out, Message{s.randomPeer(), data})
	}
	return out
}

// Announce returns datagrams that send a fact to newsRepeats random peers at once. Call it after Set: the router may crash before its next
// Tick, and a single datagram to a single peer may be lost.
func (s *Gossiper) Announce(now time.Duration, n Name) (out []Message) {
	if _, ok := s.facts[n]; !ok || s.routerCount < 2 {
		return nil
	}
	data, _ := s.encodeFacts(now, message{typ: typeFacts}, []Name{n})
	for range s.newsRepeats() {
		out = append(out, Message{s.randomPeer(), data})
	}
	return out
}

// sendNews returns the datagrams with news for one tick.
func (s *Gossiper) sendNews(now time.Duration) (out []Message) {
	due := make([]Name, 0, len(s.pendingNews))
	for n := range s.pendingNews {
		due = append(due, n)
	}
	slices.SortFunc(due, func(a, b Name) int { // least sent first; ties in a fixed order that does not depend on map iteration
		return cmp.Or(s.pendingNews[b]-s.pendingNews[a], cmp.Compare(hashName(a), hashName(b)))
	})
	for len(due) > 0 && len(out) < maxNewsPerTick {
		data, n := s.encodeFacts(now, message{typ: typeFacts}, due)
		out = append(out, Message{s.randomPeer(), data})
		for _, name := range due[:n] {
			if s.pendingNews[name]--; s.pendingNews[name] <= 0 {
				delete(s.pendingNews, name)
			}
		}
		due = due[n:]
	}
	return out
}

// encodeFacts encodes as many of the named facts as fit one datagram and returns how many names were consumed. Names whose facts have been
// removed count as consumed.
func (s *Gossiper) encodeFacts(now time.Duration, m message, names []Name) (data []byte, n int) {
	flag := byte(0)
	if m.wantsReply {
		flag = 1
	}
	data = append(m.encodeHeader(), flag)
	for _, name := range names {
		if f, ok := s.facts[name]; ok {
			extended := appendFact(data, now, name, f.Fact)
			if len(extended) > MaxDatagramBytes {
				break
			}
			data = extended
		}
		n++
	}
	return data, n
}

// answerWithFacts returns datagrams with the facts under a prefix, up to maxDatagramsPerAnswer, starting at a random one, so that further
// answers cover other facts.
func (s *Gossiper) answerWithFacts(now time.Duration, to int, p prefix) (out []Message) {
	names := s.namesUnder(p)
	if len(names) > 0 {
		start := s.rng.IntN(len(names))
		names = append(names[start:], names[:start]...)
	}
	for len(names) > 0 && len(out) < maxDatagramsPerAnswer {
		data, n := s.encodeFacts(now, message{typ: typeFacts, prefix: p}, names)
		out, names = append(out, Message{to, data}), names[n:]
	}
	return out
}

// digest returns a digest message for a prefix: for each child the sum of the hashes of the facts under it.
func (s *Gossiper) digest(p prefix) message {
	m := message{typ: typeDigest, prefix: p}
	for _, f := range s.facts {
		if p.contains(f.nameHash) {
			m.childHashes[f.nameHash<<(4*p.depth)>>60] += uint32(f.contentHash)
		}
	}
	return m
}

// namesUnder returns the names of the facts under a prefix, ordered by the hash of the name.
func (s *Gossiper) namesUnder(p prefix) (names []Name) {
	for n, f := range s.facts {
		if p.contains(f.nameHash) {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, func(a, b Name) int { return cmp.Compare(s.facts[a].nameHash, s.facts[b].nameHash) })
	return names
}

// Handle processes a datagram from the router with index from and returns the answers. Malformed datagrams are ignored.
func (s *Gossiper) Handle(now time.Duration, from int, data []byte) (out []Message) {
	m, err := decode(now, data)
	if err != nil || from == s.self || from < 0 || from >= s.routerCount {
		return nil
	}
	switch m.typ {
	case typeFacts:
		for _, f := range m.facts {
			if s.Apply(f.name, f.fact) {
				s.pendingNews[f.name], s.changed[f.name] = s.newsRepeats(), true
				s.learnedSinceTick++
				s.learnedTotal++
			}
		}
		if m.wantsReply && s.repliesSent < maxRepliesPerTick {
			out = s.answerWithFacts(now, from, m.prefix)
		}
	case typeDigest, typeDigestQuery:
		if s.repliesSent >= maxRepliesPerTick { // checked before any work, which a flood must not cause
			return nil
		}
		own := s.digest(m.prefix)
		if m.prefix == (prefix{}) && own.childHashes == m.childHashes {
			if m.typ == typeDigest { // the sender is synced
				s.synced = true
			} else if s.synced {
				out = append(out, Message{from, own.encodeDigest()})
			}
		}
		for _, i := range s.rng.Perm(len(own.childHashes)) {
			if own.childHashes[i] == m.childHashes[i] {
				continue
			}
			child := m.prefix.child(i)
			if m.childHashes[i] == 0 { // the peer has no facts there, so there is nothing to compare
				out = append(out, s.answerWithFacts(now, from, child)...)
			} else if names := s.namesUnder(child); len(names) > maxFactsSentOutright && child.depth < maxPrefixDepth {
				out = append(out, Message{from, s.digest(child).encodeDigest()})
			} else { // sends its own facts and asks for the peer's
				data, n := s.encodeFacts(now, message{typ: typeFacts, prefix: child, wantsReply: true}, names)
				out = append(out, Message{from, data})
				if n < len(names) {
					data, _ = s.encodeFacts(now, message{typ: typeFacts, prefix: child}, names[n:])
					out = append(out, Message{from, data})
				}
			}
		}
	}
	out = out[:min(len(out), max(maxRepliesPerTick-s.repliesSent, 0))]
	s.repliesSent += len(out)
	return out
}
