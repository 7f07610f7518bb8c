// Package boundedhttp reads HTTP/1.1 messages from peers that are not trusted to end them. Package net/http bounds neither the head of a
// response nor its body; here both are bounded, and what they take is charged before it is kept. All programs read responses with it.
package boundedhttp

import (
	"errors"
	"math"
	"net/http"
	"time"
)

// The errors of responses that break a limit. All of them are the fault of the peer that sent the response.
var (
	// ErrHeadTooLong is the error of a head, or of several interim ones, with more bytes or lines than allowed.
	ErrHeadTooLong = errors.New("head over the limit")
	// ErrMalformedHead is wrapped by the errors of heads that can't be a response's.
	ErrMalformedHead = errors.New("malformed head")
	// ErrInterimResponses is the error of more interim responses than allowed.
	ErrInterimResponses = errors.New("too many interim responses")
	// ErrBodyTooLong is the error of a body that is longer than allowed.
	ErrBodyTooLong = errors.New("body over the limit")
)

// Limits bound one response.
type Limits struct {
	HeadBytes        int   // of its head and the interim ones before it
	HeadLines        int   // of the same
	InterimResponses int   // before it
	BodyBytes        int64 // of its body
}

// Charge is an account of what is kept of a response. *admission.Reservation implements it.
type Charge interface {
	Grow(bytes int64) error // charges further bytes, or returns an error and charges nothing
	Shrink(bytes int64)     // returns bytes
	Limit() int64           // no more than this ever fits
}

// Uncharged is a Charge that accounts for nothing, for programs whose memory is not bounded.
type Uncharged struct{}

// Grow implements Charge.
func (Uncharged) Grow(int64) error { return nil }

// Shrink implements Charge.
func (Uncharged) Shrink(int64) {}

// Limit implements Charge.
func (Uncharged) Limit() int64 { return math.MaxInt64 }

// maxClientHeadBytes bounds the heads that a client of NewClient reads.
const maxClientHeadBytes = 64 << 10

// NewClient returns a client of package net/http that bounds the heads of responses. Their bodies are to be read with ReadBody.
func NewClient(timeout time.Duration, keepAlive bool) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxClientHeadBytes, DisableKeepAlives: !keepAlive}}
}
