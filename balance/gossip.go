package balance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// This file encodes the messages between routers; the policy files decide what is sent, to whom, and how it is used. A message is a
// sequence of observations of ten bytes: the hashes of a key and a server, and milliseconds below a bit that tells of an answer.

// observation is an attempt's time in flight at a server; without a key it continues an earlier one of the same attempt.
type observation struct {
	key      uint32
	server   uint32
	took     time.Duration
	answered bool // successfully, or by a rejection as full
}

const (
	observationLen, maxObservations = 10, 25 // a message has at most 256 bytes
	answeredBit, maxMillis          = 1 << 15, 1<<15 - 1
)

func hashID(id ServerID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func encodeObservations(all []observation) []byte {
	var content []byte
	for _, s := range all {
		content = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(content, s.key), s.server)
		millis := uint16(min(s.took.Milliseconds(), maxMillis))
		if s.answered {
			millis |= answeredBit
		}
		content = binary.BigEndian.AppendUint16(content, millis)
	}
	return content
}

// decodeObservations ignores an incomplete observation at the end.
func decodeObservations(content []byte) (all []observation) {
	for ; len(content) >= observationLen; content = content[observationLen:] {
		millis := binary.BigEndian.Uint16(content[8:])
		took := time.Duration(millis&maxMillis) * time.Millisecond
		all = append(all, observation{binary.BigEndian.Uint32(content), binary.BigEndian.Uint32(content[4:]), took, millis&answeredBit != 0})
	}
	return all
}

// gossip sends the pending observations to other routers that are chosen at random each time.
func (b *Balancer) gossip(peers int) {
	content := encodeObservations(b.observations)
	b.observations = nil
	for range min(peers, b.cfg.Routers-1) {
		to := b.rng.IntN(b.cfg.Routers - 1)
		if to >= b.cfg.Index {
			to++
		}
		b.emit(SendPeerMessage{To: to, Content: content})
	}
}
