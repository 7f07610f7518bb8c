package registry

import (
	"errors"
	"net/http"
	"os"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/clusterstate"
)

// This file reads the bodies of requests within the bounds that all of them share.

// bodyKind is a kind of request body.
type bodyKind int

const (
	shortBody    bodyKind = iota // of a heartbeat or a purge
	manifestBody                 // of a configuration
)

const (
	maxShortBody        = 64 << 10 // bytes
	manifestBodyDivisor = 80       // the memory divided by this bounds a configuration
	manifestWorkFactor  = 6        // bytes that a byte of a configuration takes while it is checked and compared
	shortBodyTimeout    = 5 * time.Second
	manifestBodyTimeout = 15 * time.Second
)

// maxManifestBytes returns the length of the longest configuration that a machine with so much memory takes.
func maxManifestBytes(memoryMB int) int64 { return int64(memoryMB<<20) / manifestBodyDivisor }

// bodyLimits are the bounds of a kind of body.
type bodyLimits struct {
	maxBytes   int64
	timeout    time.Duration // in which it must arrive
	budget     *admission.Budget
	workFactor int64 // bytes that each of its bytes takes while it is handled
}

// limitsOf returns the bounds of a kind of body.
func (reg *Registry) limitsOf(kind bodyKind) bodyLimits {
	if kind == manifestBody {
		return bodyLimits{maxManifestBytes(reg.settings.MemoryMB), manifestBodyTimeout, reg.memory.Bodies, manifestWorkFactor}
	}
	return bodyLimits{maxShortBody, shortBodyTimeout, reg.memory.Heads, 0} // configurations that never end must not keep heartbeats out
}

// readBody reads a request's body and charges it. If that fails it writes the response and returns false. The body must be released in
// either case.
func (reg *Registry) readBody(rw http.ResponseWriter, r *http.Request, kind bodyKind) (body *admission.Body, ok bool) {
	limits := reg.limitsOf(kind)
	body, err := admission.ReadRequestBody(rw, r, limits.maxBytes, time.Now().Add(limits.timeout), limits.budget)
	if err == nil {
		err = body.Reservation.Grow(limits.workFactor * int64(len(body.Bytes)))
	}
	if err != nil {
		reg.refuseBody(rw, r, err)
		return body, false
	}
	return body, true
}

// refuseBody writes the response to a request whose body could not be read.
func (reg *Registry) refuseBody(rw http.ResponseWriter, r *http.Request, err error) {
	rw.Header().Set("Connection", "close") // what follows of the body is not read
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		reg.writeOutcome(rw, r, clusterstate.Outcome{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}, nil, nil)
	case errors.Is(err, admission.ErrNoRoom):
		reg.writeOutcome(rw, r, clusterstate.Outcome{Status: clusterstate.StatusUnknown, Text: err.Error()}, nil, nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		reg.writeOutcome(rw, r, clusterstate.Outcome{Status: http.StatusRequestTimeout, Text: "the body took too long"}, nil, nil)
	default:
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
	}
}
