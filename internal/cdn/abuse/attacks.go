package abuse

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/edge"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/peersampling"
	"cedarmast/internal/cdn/usage"
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
	changedCalls     = 40 // on one connection
)

// Attacks are all kinds of abuse.
var Attacks = []Attack{
	{Name: "heads with long lines", Addresses: httpAddresses, Send: sendLongLines},
	{Name: "heads with short lines", Addresses: httpAddresses, Send: sendShortLines},
	{Name: "bodies of 256 KB that stop before their end", Addresses: clientAddresses, Send: sendShortBody},
	{Name: "bodies in chunks that go on", Addresses: clientAddresses, Send: sendEndlessBody("POST /resendable/1", "shop.example")},
	{Name: "requests whose answers nobody reads", Addresses: clientAddresses, Send: sendUnread("GET /resendable/1", "shop.example")},
	{Name: "configurations in chunks that go on", Addresses: controlAddresses, Send: sendEndlessBody("PUT /manifest", "control")},
	{Name: "configurations that stop before their end", Addresses: controlAddresses, Send: sendPartOfManifest},
	{Name: "reads of the configuration that nobody reads", Addresses: controlAddresses, Send: sendUnread("GET /manifest", "control")},
	{Name: "metrics that nobody reads", Addresses: metricsAddresses, Send: sendUnread("GET /metrics", "metrics")},
	{Name: "messages of 900 MB", Addresses: peerAddresses, Send: sendPartOfMessage(announcedMessage)},
	{Name: "messages of 8 MB that stop before their end", Addresses: peerAddresses, Send: sendPartOfMessage(allowedMessage)},
	{Name: "messages with a million empty items", Addresses: peerAddresses, Send: sendEmptyItems, SpeaksAsPeer: true},
	{Name: "calls for the whole state that nobody reads", Addresses: peerAddresses, Send: sendUnreadCalls},
	{Name: "calls whose bytes are changed", Addresses: peerAddresses, Send: sendChangedCalls, SpeaksAsPeer: true},
	{Name: "requests whose bytes are changed", Addresses: httpAddresses, Send: sendChangedRequests, SpeaksAsPeer: true},
	{Name: "garbage", Addresses: allAddresses, Send: sendGarbage},
}

// calls are arguments of the methods that processes offer each other.
var calls = map[string]any{
	"ConfigStore.Deliver": []consensus.Message{{From: "127.0.0.1", Addr: "127.0.0.1:1", Append: &consensus.Append{Entries: []consensus.Entry{{Index: 1, Term: 1, Data: []byte("{}")}}}},
		{Join: &consensus.Join{}}, {Vote: &consensus.VoteRequest{}}, {Piece: &consensus.SnapshotPiece{Size: 10, Data: []byte("{}")}}},
	"ConfigStore.Propose":   configstore.Proposal{Data: []byte(`{"purge":{"Tag":"a"}}`), Kind: "purge", WaitMS: 10, Ticket: 1},
	"ConfigStore.Barrier":   configstore.Asked{WaitMS: 10, Ticket: 2},
	"ConfigStore.Manifest":  configstore.Asked{WaitMS: 10, Ticket: 3},
	"ConfigStore.News":      clusterstate.Ask{Have: 1, HoldMS: 10, Router: clusterstate.Router{Node: "a", Zone: "b", Address: "127.0.0.1:1", Weight: 1}},
	"ConfigStore.Heard":     []string{"a", "b"},
	"ConfigStore.Need":      clusterstate.Needs{Node: "a", Per: map[string]float64{"shop": 1}},
	"ConfigStore.Usage":     usage.Report{Node: "a", Life: "b", Sequence: 1, Windows: map[int64]usage.Counts{1: {"t": 1}}},
	"ConfigStore.UsageSums": true,
	"ConfigStore.Silent":    configstore.Silence{Names: []string{"a"}},
	"ConfigStore.Status":    true,
	"Edge.Fetch":            edge.Fetch{Key: objectcache.Key{Service: "shop", Host: "shop.example", Path: "/shelved/1"}, Target: "/shelved/1", LeftMS: 10, Route: "r-shelved"},
	"Edge.Piece":            edge.Piece{Key: objectcache.Key{Service: "shop", Host: "shop.example", Path: "/shelved/1"}, ETag: "a", Total: 10, N: 5},
	"Edge.News":             clusterstate.Ask{Have: 1},
	"Edge.Mingle":           []peersampling.Neighbour{{}},
	"Edge.PassUsage":        usage.Report{Node: "a", Life: "b"},
	"Peer.GiveUp":           peerrpc.CallID(1),
	"Peer.Word":             true,
}

// requests are proper requests.
const requests = "GET /shelved/1 HTTP/1.1\r\nHost: shop.example\r\nTry-Id: a\r\nTime-Left: 500\r\nRange: bytes=1-2\r\n\r\n" +
	"POST /once_only/1 HTTP/1.1\r\nHost: shop.example\r\nTry-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
	"GET /ready HTTP/1.1\r\nHost: a\r\n\r\nGET /manifest HTTP/1.1\r\nHost: a\r\n\r\nGET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" +
	"PUT /servers/x HTTP/1.1\r\nHost: a\r\nContent-Length: 116\r\n\r\n" +
	`{"id":"x","carrier":"other","address":"127.0.0.1:1","zone":"z","berths":1,"state":"open","warmup":"0ms","postmark":1}` +
	"POST /purge HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n" + `{"tag":"a"}`

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

// emptyItemsStream returns calls with very many items that take a byte each, and far more once they are decoded. It is made once, for it
// takes that much here as well.
var emptyItemsStream = sync.OnceValue(func() []byte {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	messages := []consensus.Message{{Append: &consensus.Append{Entries: make([]consensus.Entry, emptyItems)}}}
	for number := range uint64(emptyItemCalls) {
		encoder.Encode(&rpc.Request{ServiceMethod: "ConfigStore.Deliver", Seq: number})
		encoder.Encode(messages)
	}
	return stream.Bytes()
})

// sendEmptyItems sends such calls.
func sendEmptyItems(conn net.Conn, _ *rand.Rand) { write(conn, emptyItemsStream()) }

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

// sendChangedCalls makes calls of all methods, some of whose bytes are changed.
func sendChangedCalls(conn net.Conn, rng *rand.Rand) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	methods := slices.Sorted(maps.Keys(calls))
	for number := range uint64(changedCalls) {
		method := methods[rng.IntN(len(methods))]
		encoder.Encode(&rpc.Request{ServiceMethod: method, Seq: number})
		encoder.Encode(calls[method])
		if !write(conn, changed(stream.Bytes(), rng)) {
			return
		}
		stream.Reset()
	}
}

// sendChangedRequests sends requests, some of whose bytes are changed.
func sendChangedRequests(conn net.Conn, rng *rand.Rand) {
	for range changedCalls {
		if !write(conn, changed([]byte(requests), rng)) {
			return
		}
	}
}

// changed returns bytes of which one is changed half of the time.
func changed(data []byte, rng *rand.Rand) []byte {
	out := bytes.Clone(data)
	if rng.IntN(2) == 0 {
		out[rng.IntN(len(out))] = byte(rng.Uint32())
	}
	return out
}

// sendGarbage sends random bytes.
func sendGarbage(conn net.Conn, rng *rand.Rand) {
	garbage := make([]byte, 1+rng.IntN(maxGarbageBytes))
	for i := range garbage {
		garbage[i] = byte(rng.Uint32())
	}
	write(conn, garbage)
}
