package balance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// This file codes what routers tell each other; what is told, to whom and what is made of it is decided in
// the policy files. A message is a row of sightings of ten bytes: the hashes of a key and a server, and
// milliseconds under a bit that tells of an answer.

// sighting is one attempt's time in flight at a server; without a key it goes on with an earlier one.
type sighting struct {
	key      uint32
	server   uint32
	took     time.Duration
	answered bool // well, or by being turned away
}

const (
	sightingLen, maxSightings = 10, 25 // 256 bytes a message
	answeredBit, mostTold     = 1 << 15, 1<<15 - 1
)

func hashID(id ServerID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func encodeSightings(all []sighting) []byte {
	var text []byte
	for _, s := range all {
		text = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(text, s.key), s.server)
		told := uint16(min(s.took.Milliseconds(), mostTold))
		if s.answered {
			told |= answeredBit
		}
		text = binary.BigEndian.AppendUint16(text, told)
	}
	return text
}

// decodeSightings passes over a last piece that is cut short.
func decodeSightings(text []byte) (all []sighting) {
	for ; len(text) >= sightingLen; text = text[sightingLen:] {
		told := binary.BigEndian.Uint16(text[8:])
		took := time.Duration(told&mostTold) * time.Millisecond
		all = append(all, sighting{binary.BigEndian.Uint32(text), binary.BigEndian.Uint32(text[4:]), took, told&answeredBit != 0})
	}
	return all
}

// tell sends what was sighted to some other routers, drawn anew each time.
func (b *Balancer) tell(peers int) {
	text := encodeSightings(b.sightings)
	b.sightings = nil
	for range min(peers, b.set.Routers-1) {
		to := b.rng.IntN(b.set.Routers - 1)
		if to >= b.set.Number {
			to++
		}
		b.do(Tell{To: to, Content: text})
	}
}
