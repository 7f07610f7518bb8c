package facts

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// A message is one datagram of at most MaxDatagramBytes: a magic byte, a version, a message type and the body. Messages of another version
// are ignored; their facts arrive through a peer that speaks this version, or not at all. A truncated message is rejected as a whole.

// MaxDatagramBytes is the maximum length of a datagram in bytes.
const MaxDatagramBytes = 256

const (
	magicByte = 0xFA // about one attempt message in eight million starts with these magic, version and type bytes by chance
	version   = 1
)

// messageType is the kind of a message, its third byte.
type messageType byte

const (
	typeFacts       messageType = 1 // facts, and whether the sender wants the receiver's facts under the same prefix
	typeDigest      messageType = 2 // the hashes of a prefix's sixteen children
	typeDigestQuery messageType = 3 // the hashes of the root prefix, from a router that asks for a confirmation if the receiver's are equal
)

// IsMessage reports whether a datagram is a message of this package, judging by its first three bytes.
func IsMessage(data []byte) bool {
	return len(data) > 2 && data[0] == magicByte && data[1] == version && data[2] >= byte(typeFacts) && data[2] <= byte(typeDigestQuery)
}

// ErrMalformedMessage is returned for a datagram that is malformed or is not a message of this package.
var ErrMalformedMessage = errors.New("not a message of facts")

// message is the decoded content of a datagram.
type message struct {
	typ         messageType
	prefix      prefix
	wantsReply  bool // typeFacts: the sender asks for the receiver's facts under the prefix
	facts       []namedFact
	childHashes [16]uint32
}

// namedFact is a fact with its name.
type namedFact struct {
	name Name
	fact Fact
}

// appendFact appends the encoding of a fact to buf: its name, the incarnations seen, and its copies, each with the index of its
// incarnation in that list. Times are encoded as ages in whole seconds, rounded down: Merge keeps the earliest time, which must not
// become earlier each time a fact is forwarded.
func appendFact(buf []byte, now time.Duration, name Name, fact Fact) []byte {
	buf = append(append(buf, byte(name.Kind), byte(len(name.Subject))), name.Subject...)
	incarnations := slices.Sorted(maps.Keys(fact.Seen))
	buf = append(buf, byte(len(incarnations)))
	for _, incarnation := range incarnations {
		buf = binary.AppendUvarint(binary.BigEndian.AppendUint32(buf, uint32(incarnation)), uint64(fact.Seen[incarnation]))
	}
	buf = append(buf, byte(len(fact.Copies)))
	for _, c := range fact.Copies {
		age := uint64(max(now-c.Since, 0) / time.Second)
		buf = append(buf, byte(slices.Index(incarnations, c.Dot.Life)))
		buf = binary.AppendUvarint(buf, uint64(c.Dot.Count))
		buf = binary.AppendVarint(buf, c.Value)
		buf = binary.AppendUvarint(buf, min(age, maxAgeSeconds))
	}
	return buf
}

const maxAgeSeconds = 10 * 365 * 24 * 3600 // 10 years; an older copy is sent with this age

// reader decodes fields from the front of data. After an error malformed is set and all reads return zero values.
type reader struct {
	data      []byte
	malformed bool
}

// bytes reads n bytes.
func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.malformed, r.data = true, nil
		return make([]byte, n)
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) byte() int { return int(r.bytes(1)[0]) }

// uvarint reads a varint of at most limit.
func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > limit {
		r.malformed, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.malformed, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

// fact reads a fact that appendFact has encoded and validates it. now is the time that the encoded ages refer to.
func (r *reader) fact(now time.Duration) (name Name, fact Fact) {
	name.Kind = Kind(r.byte())
	name.Subject = string(r.bytes(r.byte()))
	incarnations := make([]Incarnation, r.byte())
	if fact.Seen = map[Incarnation]uint32{}; len(incarnations) > maxIncarnations {
		r.malformed = true
	}
	for i := range incarnations {
		if r.malformed {
			return name, fact
		}
		incarnations[i] = Incarnation(binary.BigEndian.Uint32(r.bytes(4)))
		fact.Seen[incarnations[i]] = uint32(r.uvarint(math.MaxUint32))
	}
	for range r.byte() {
		index := r.byte()
		count := uint32(r.uvarint(math.MaxUint32))
		value := r.varint()
		age := time.Duration(r.uvarint(maxAgeSeconds)) * time.Second
		if r.malformed || index >= len(incarnations) || count == 0 || count > fact.Seen[incarnations[index]] {
			r.malformed = true // a copy of a write that the sender has not seen
			return name, fact
		}
		fact.Copies = append(fact.Copies, Copy{Dot{incarnations[index], count}, value, now - age})
	}
	slices.SortFunc(fact.Copies, byDot)
	if !validName(name) || len(fact.Seen) != len(incarnations) || len(fact.Copies) == 0 ||
		slices.Contains(slices.Collect(maps.Values(fact.Seen)), 0) ||
		len(slices.CompactFunc(slices.Clone(fact.Copies), func(a, b Copy) bool { return a.Dot.Life == b.Dot.Life })) != len(fact.Copies) {
		r.malformed = true // only the last write of an incarnation can be a current copy
	}
	return name, fact
}

// decode decodes a datagram received at now, by the receiver's clock.
func decode(now time.Duration, data []byte) (m message, err error) {
	r := &reader{data: data}
	if len(data) > MaxDatagramBytes || r.byte() != magicByte || r.byte() != version {
		return m, ErrMalformedMessage
	}
	m.typ = messageType(r.byte())
	m.prefix = prefix{uint64(binary.BigEndian.Uint32(r.bytes(4))) << 32, r.byte()}
	if m.prefix.depth > maxPrefixDepth || m.prefix != m.prefix.truncate(m.prefix.depth) {
		return m, ErrMalformedMessage
	}
	switch m.typ {
	case typeFacts:
		m.wantsReply = r.byte() == 1
		for len(r.data) > 0 && !r.malformed {
			n, f := r.fact(now)
			m.facts = append(m.facts, namedFact{n, f})
		}
	case typeDigest, typeDigestQuery:
		for i := range m.childHashes {
			m.childHashes[i] = binary.BigEndian.Uint32(r.bytes(4))
		}
	default:
		return m, ErrMalformedMessage
	}
	if r.malformed || m.typ != typeFacts && len(r.data) > 0 {
		return m, ErrMalformedMessage
	}
	return m, nil
}

// encodeHeader encodes the fields that all messages start with.
func (m message) encodeHeader() []byte {
	buf := binary.BigEndian.AppendUint32([]byte{magicByte, version, byte(m.typ)}, uint32(m.prefix.bits>>32))
	return append(buf, byte(m.prefix.depth))
}

// encodeDigest encodes a message of type typeDigest or typeDigestQuery.
func (m message) encodeDigest() []byte {
	buf := m.encodeHeader()
	for _, hash := range m.childHashes {
		buf = binary.BigEndian.AppendUint32(buf, hash)
	}
	return buf
}

// Snapshot encodes all facts, for storage on disk or for a successor process. Load reads it, usually in another incarnation.
func (s *Store) Snapshot(now time.Duration) []byte {
	data := []byte{version}
	for _, n := range s.Names() {
		data = appendFact(data, now, n, s.facts[n].Fact)
	}
	return data
}

// ErrMalformedSnapshot is returned for a snapshot that is malformed or has another version.
var ErrMalformedSnapshot = errors.New("not a snapshot of facts")

// Load merges a snapshot into the store. written is when the snapshot was taken, by this store's clock, and is usually before the clock's
// start (negative). A malformed snapshot leaves the store unchanged.
func (s *Store) Load(written time.Duration, data []byte) error {
	r := &reader{data: data}
	if r.byte() != version {
		return ErrMalformedSnapshot
	}
	var all []namedFact
	for len(r.data) > 0 {
		n, f := r.fact(written)
		all = append(all, namedFact{n, f})
	}
	if r.malformed {
		return ErrMalformedSnapshot
	}
	for _, f := range all {
		s.Apply(f.name, f.fact)
	}
	return nil
}
