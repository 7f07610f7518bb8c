package soak

import (
	"bytes"
	"hash/fnv"
	"io"
	"net/http"
)

// The lengths of request bodies, in bytes. A long one does not fit into the buffers of its connections.
const (
	shortBodyBytes  = 4000
	mediumBodyBytes = 100 << 10
	longBodyBytes   = 3 << 20
)

// One in bodyChoices of the requests that may carry a body carries a long one, four others a medium one.
const (
	bodyChoices   = 48
	mediumChoices = 4
)

// bodyLength returns the length of the request's body in bytes. It depends on the request's id alone. Once-only requests always carry a
// body, other requests that are not answered from caches seldom do.
func (req *request) bodyLength() int {
	if req.kind.shared > 0 || req.pipelined {
		return 0
	}
	hash := fnv.New32a()
	io.WriteString(hash, req.id)
	switch choice := hash.Sum32() % bodyChoices; {
	case choice == 0:
		return longBodyBytes
	case choice <= mediumChoices:
		return mediumBodyBytes
	case req.kind.onceOnly:
		return shortBodyBytes
	}
	return 0
}

// method returns the request's method.
func (req *request) method() string {
	if req.kind.method == http.MethodGet && req.bodyLength() > 0 {
		return http.MethodPut
	}
	return req.kind.method
}

// requestBody returns the first bytes of the body of a request with this id. Bodies of requests with different ids differ.
func requestBody(id string, length int) []byte {
	line := id + "\n"
	return bytes.Repeat([]byte(line), length/len(line)+1)[:length]
}

// bodyReader reads a request's body at a server and reports bytes that its client has not sent.
type bodyReader struct {
	soakRun *soakRun
	server  string
	request *http.Request
	expect  []byte // of what is still to come
	foreign bool
}

// newBodyReader returns a reader of a request's body.
func newBodyReader(s *soakRun, server string, r *http.Request) *bodyReader {
	return &bodyReader{soakRun: s, server: server, request: r, expect: requestBody(r.Header.Get("Try-Id"), int(max(r.ContentLength, 0)))}
}

// read reads so many bytes, or as many as there are, and returns why there are no more. The error of a body that ended early is not nil.
func (b *bodyReader) read(bytes int) error {
	_, err := io.CopyN(b, b.request.Body, int64(min(bytes, len(b.expect))))
	return err
}

// readAll reads the rest. The error of a body that ended early is not nil.
func (b *bodyReader) readAll() error {
	_, err := io.Copy(b, b.request.Body)
	return err
}

// Write implements io.Writer. It compares bytes of the body with what the client has sent.
func (b *bodyReader) Write(arrived []byte) (int, error) {
	sent := b.expect[:min(len(arrived), len(b.expect))]
	if !bytes.Equal(arrived, sent) && !b.foreign {
		b.foreign = true
		b.soakRun.recorder.addViolation("%s gets other bytes than its client has sent in the body of %s, %d before its end", b.server, b.request.Header.Get("Try-Id"), len(b.expect))
	}
	b.expect = b.expect[len(sent):]
	return len(arrived), nil
}
