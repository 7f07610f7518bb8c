package abuse

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strings"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/localnet"
)

const (
	chunkBytes       = 16 << 10
	endlessBytes     = 2 << 20 // that a caller sends before it falls silent
	unreadCalls      = 400     // on one connection
	emptyItems       = 1 << 20
	emptyItemCalls   = 4
	longLineBytes    = 4 << 10
	shortLines       = 8 << 10
	announcedMessage = 900 << 20
	allowedMessage   = 8 << 20
	maxGarbageBytes  = 64 << 10
)

// Attacks are all kinds of abuse.
var Attacks = []Attack{
	{"heads with long lines", httpAddresses, sendLongLines},
	{"heads with short lines", httpAddresses, sendShortLines},
	{"bodies of 256 KB that stop before their end", clientAddresses, sendShortBody},
	{"bodies in chunks that go on", clientAddresses, sendEndlessBody("POST /resendable/1", "shop.example")},
	{"requests whose answers nobody reads", clientAddresses, sendUnread("GET /resendable/1", "shop.example")},
	{"configurations in chunks that go on", controlAddresses, sendEndlessBody("PUT /manifest", "control")},
	{"configurations that stop before their end", controlAddresses, sendPartOfManifest},
	{"reads of the configuration that nobody reads", controlAddresses, sendUnread("GET /manifest", "control")},
	{"metrics that nobody reads", metricsAddresses, sendUnread("GET /metrics", "metrics")},
	{"messages of 900 MB", peerAddresses, sendPartOfMessage(announcedMessage)},
	{"messages of 8 MB that stop before their end", peerAddresses, sendPartOfMessage(allowedMessage)},
	{"messages with a million empty items", peerAddresses, sendEmptyItems},
	{"calls for the whole state that nobody reads", peerAddresses, sendUnreadCalls},
	{"garbage", allAddresses, sendGarbage},
}

func clientAddresses(m *localnet.Machine) []string {
	if m.Core || m.Store {
		return nil
	}
	return []string{m.ClientAddress()}
}

func controlAddresses(m *localnet.Machine) []string {
	if !m.Core {
		return nil
	}
	return []string{m.ControlAddress()}
}

func httpAddresses(m *localnet.Machine) []string {
	addresses := append(clientAddresses(m), controlAddresses(m)...)
	if !m.Core && !m.Store {
		addresses = append(addresses, m.ReadinessAddress())
	}
	return append(addresses, m.MetricsAddresses()...)
}

func metricsAddresses(m *localnet.Machine) []string { return m.MetricsAddresses() }

func peerAddresses(m *localnet.Machine) []string { return []string{m.PeerAddress()} }

func allAddresses(m *localnet.Machine) []string { return append(httpAddresses(m), peerAddresses(m)...) }

// sendLongLines sends a head of long lines that does not end.
func sendLongLines(conn net.Conn, _ *rand.Rand) {
	line := []byte("X-Line: " + strings.Repeat("x", longLineBytes) + "\r\n")
	if !write(conn, []byte("GET /resendable/1 HTTP/1.1\r\nHost: shop.example\r\n")) {
		return
	}
	for sent := 0; sent < endlessBytes && write(conn, line); sent += len(line) {
	}
}

// sendShortLines sends a head of many short lines that does not end.
func sendShortLines(conn net.Conn, _ *rand.Rand) {
	if !write(conn, []byte("GET /resendable/1 HTTP/1.1\r\nHost: shop.example\r\n")) {
		return
	}
	var lines []byte
	for n := range shortLines {
		lines = fmt.Appendf(lines, "%x:\r\n", n)
	}
	write(conn, lines)
}

// sendShortBody announces a body and stops before its last byte.
func sendShortBody(conn net.Conn, _ *rand.Rand) {
	const bodyBytes = 256 << 10
	head := fmt.Sprintf("POST /resendable/1 HTTP/1.1\r\nHost: shop.example\r\nTry-Id: a\r\nTime-Left: 60000\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	if write(conn, []byte(head)) {
		write(conn, make([]byte, bodyBytes-1))
	}
}

// sendEndlessBody returns a caller that sends a body in chunks that does not end.
func sendEndlessBody(call, host string) func(net.Conn, *rand.Rand) {
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nTry-Id: a\r\nTime-Left: 60000\r\nTransfer-Encoding: chunked\r\n\r\n", call, host)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
	return func(conn net.Conn, _ *rand.Rand) {
		if !write(conn, []byte(head)) {
			return
		}
		for sent := 0; sent < endlessBytes && write(conn, chunk); sent += len(chunk) {
		}
	}
}

// sendPartOfManifest announces a configuration that could be taken and sends the most of it.
func sendPartOfManifest(conn net.Conn, _ *rand.Rand) {
	if write(conn, fmt.Appendf(nil, "PUT /manifest HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n", endlessBytes)) {
		write(conn, bytes.Repeat([]byte{' '}, endlessBytes-1))
	}
}

// sendUnread returns a caller that sends requests and reads no answer.
func sendUnread(call, host string) func(net.Conn, *rand.Rand) {
	requests := strings.Repeat(fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nTry-Id: a\r\nTime-Left: 2000\r\n\r\n", call, host), unreadCalls)
	return func(conn net.Conn, _ *rand.Rand) { write(conn, []byte(requests)) }
}

// sendPartOfMessage returns a caller that announces a message between processes and sends a part of it.
func sendPartOfMessage(announced uint32) func(net.Conn, *rand.Rand) {
	return func(conn net.Conn, _ *rand.Rand) {
		var head bytes.Buffer
		gob.NewEncoder(&head).Encode(&rpc.Request{ServiceMethod: "ConfigStore.Propose", Seq: 1})
		prefix := []byte{0xfc, byte(announced >> 24), byte(announced >> 16), byte(announced >> 8), byte(announced), 2} // four bytes, then a value
		if write(conn, append(head.Bytes(), prefix...)) {
			write(conn, make([]byte, endlessBytes))
		}
	}
}

// sendEmptyItems sends messages with very many items that take a byte each, and far more once they are decoded.
func sendEmptyItems(conn net.Conn, _ *rand.Rand) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for number := range uint64(emptyItemCalls) {
		stream.Reset()
		encoder.Encode(&rpc.Request{ServiceMethod: "ConfigStore.Deliver", Seq: number})
		encoder.Encode([]consensus.Message{{Append: &consensus.Append{Entries: make([]consensus.Entry, emptyItems)}}})
		if !write(conn, stream.Bytes()) {
			return
		}
	}
}

// sendUnreadCalls asks for the whole state again and again and reads no reply.
func sendUnreadCalls(conn net.Conn, _ *rand.Rand) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for number := range uint64(unreadCalls) {
		for _, service := range []string{"ConfigStore", "Edge"} {
			encoder.Encode(&rpc.Request{ServiceMethod: service + ".News", Seq: number})
			encoder.Encode(&clusterstate.Ask{HoldMS: 1})
		}
	}
	write(conn, stream.Bytes())
}

// sendGarbage sends random bytes.
func sendGarbage(conn net.Conn, rng *rand.Rand) {
	garbage := make([]byte, 1+rng.IntN(maxGarbageBytes))
	for i := range garbage {
		garbage[i] = byte(rng.Uint32())
	}
	write(conn, garbage)
}
