package upstream

import (
	"errors"
	"sync"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/exchange"
)

// OriginRequest holds what all attempts of one request share, until the request is answered.
type OriginRequest struct {
	// ID is the client's request id (Try-Id). It tells the response from a late one to another request. Servers repeat an id only if
	// the client sent one, so a request without an id uses a connection of its own.
	ID        string
	Service   string               // that the request is sent to
	OnceOnly  bool                 // the request must not run twice
	Cacheable bool                 // the response may be cached: an attempt that was sent is finished even if its caller is cancelled
	Caller    *cancellation.Caller // who waits for the response; nil if nobody can cancel
	// Permit is called before an attempt connects, again before the end of its head is sent, and for a long body once more before its last
	// byte is sent. It returns the tenant on whose behalf the
	// request runs, empty for none, or an error if the request must not run. If nil, no permission is needed.
	Permit func() (tenant string, err error)
	// HoldBody is called if a server has responded while the request's body is still being sent to it. Until the returned function is
	// called the body is in use, also when the request has been answered. If nil, nobody needs to know.
	HoldBody func() (release func())
	// UsageCounter counts the attempts that servers may have started for a tenant. If nil, they are not counted.
	UsageCounter UsageCounter

	mu          sync.Mutex
	lastFailure *exchange.AttemptResult           // the last error response of a server that ran the request
	sentCount   int                               // attempts sent to a server, which may have run the request
	notRunCount int                               // those of them that a server reported as not run
	denyErr     error                             // why the last attempt was not permitted; nil if it was
	server      balance.ServerID                  // the server that responded last
	latency     time.Duration                     // from sending to the complete response
	held        []*admission.PartitionReservation // of responses
	released    bool                              // the request has been answered: nothing is held for it any more
}

// hold keeps what a response is charged until the request is answered.
func (o *OriginRequest) hold(reservation *admission.PartitionReservation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released {
		reservation.Release()
		return
	}
	o.held = append(o.held, reservation)
}

// release returns what responses are charged.
func (o *OriginRequest) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	for _, reservation := range o.held {
		reservation.Release()
	}
	o.held = nil
}

// holdBody calls HoldBody.
func (o *OriginRequest) holdBody() (release func()) {
	if o.HoldBody == nil {
		return func() {}
	}
	return o.HoldBody()
}

// UsageCounter counts a request's attempts for its tenant's usage report.
type UsageCounter interface {
	CountAttempt(tenant string) // an attempt is being sent to a server, which may run it
	UncountAttempt()            // an attempt that was counted as sent was certainly not run
}

// Server returns the server of the response that was used, or of the last one.
func (o *OriginRequest) Server() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.server)
}

// Latency returns how long that server took, from sending the request to its complete response.
func (o *OriginRequest) Latency() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latency
}

// LastFailure returns the last error response that a server itself gave, nil if there is none.
func (o *OriginRequest) LastFailure() *exchange.AttemptResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailure
}

// MayHaveRun reports whether a server may have started to run the request.
func (o *OriginRequest) MayHaveRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount > 0
}

// NeverRan reports whether certainly no server has run the request: it was sent to none, or only to servers that reported that
// they did not run it.
func (o *OriginRequest) NeverRan() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount == o.notRunCount
}

// recordNotRun records that a server reported that it did not run an attempt that it was sent.
func (o *OriginRequest) recordNotRun() {
	o.mu.Lock()
	o.notRunCount++
	o.mu.Unlock()
	o.uncountAttempt()
}

// DenyReason returns why the last attempt was not permitted, nil if it was.
func (o *OriginRequest) DenyReason() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.denyErr
}

// ErrTenantChanged is returned for an attempt that is not sent because the client's key was moved to another tenant after the
// request's header was written.
var ErrTenantChanged = errors.New("the client key was moved to another tenant")

// checkPermit asks Permit for the tenant on whose behalf the request may run now, and records an error.
func (o *OriginRequest) checkPermit() (tenant string, err error) {
	if o.Permit == nil {
		return "", nil
	}
	tenant, err = o.Permit()
	o.setDenied(err)
	return tenant, err
}

// recheckPermit asks Permit again while a request that names the given tenant is being sent.
func (o *OriginRequest) recheckPermit(tenant string) error {
	current, err := o.checkPermit()
	if err == nil && current != tenant {
		err = ErrTenantChanged
		o.setDenied(err)
	}
	return err
}

// setDenied records why the attempt was not permitted; nil if it was.
func (o *OriginRequest) setDenied(err error) {
	o.mu.Lock()
	o.denyErr = err
	o.mu.Unlock()
}

// SentCount returns how many attempts were sent to a server.
func (o *OriginRequest) SentCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount
}

// policy returns what happens to an attempt whose caller is cancelled: once-only and cacheable requests are finished.
func (o *OriginRequest) policy() cancellation.CancelPolicy {
	if o.OnceOnly || o.Cacheable {
		return cancellation.Finish
	}
	return cancellation.Abort
}

// uncountAttempt takes an attempt that was counted as sent out of the tenant's usage again.
func (o *OriginRequest) uncountAttempt() {
	if o.UsageCounter != nil {
		o.UsageCounter.UncountAttempt()
	}
}

// beginAttempt is called before the end of a request's head is sent, and counts the attempt as sent. If it returns false, the caller is
// cancelled and nothing more must be sent.
func (o *OriginRequest) beginAttempt(tenant string, due time.Time) bool {
	if !o.Caller.BeginAttempt(o.policy(), due) {
		return false
	}
	o.mu.Lock()
	o.sentCount++
	o.mu.Unlock()
	if o.UsageCounter != nil {
		o.UsageCounter.CountAttempt(tenant)
	}
	return true
}
