package upstream

import (
	"errors"
	"sync"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"
)

// Order holds what all attempts of one request share, until the request is answered.
type Order struct {
	// ID is the client's request id (Try-Id). It tells the response from a late one to another request. Servers repeat an id only if
	// the client sent one, so a request without an id uses a connection of its own.
	ID       string
	OnceOnly bool              // the request must not run twice
	Stamped  bool              // a success response without a stamp is invalid
	Keep     bool              // the response may be cached: an attempt that was sent is finished even if its caller is cancelled
	Caller   *departure.Caller // who waits for the response; nil if nobody can cancel
	// Permit is called before an attempt connects and again before its last byte is sent. It returns the tenant on whose behalf the
	// request runs, empty for none, or an error if the request must not run. If nil, no permission is needed.
	Permit func() (tenant string, err error)
	// Account counts the attempts that servers may have started for a tenant. If nil, they are not counted.
	Account Account

	mu          sync.Mutex
	lastFailure *exchange.Reply  // the last error response of a server that ran the request
	sentCount   int              // attempts sent to a server, which may have run the request
	notRunCount int              // those of them that a server reported as not run
	denyErr     error            // why the last attempt was not permitted; nil if it was
	server      balance.ServerID // the server that responded last
	latency     time.Duration    // from sending to the complete response
}

// Account counts a request's attempts for its tenant's usage report.
type Account interface {
	Begun(tenant string) // an attempt is being sent to a server, which may run it
	NotRun()             // an attempt that was counted as sent was certainly not run
}

// Server returns the server of the response that was used, or of the last one.
func (o *Order) Server() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.server)
}

// Took returns how long that server took, from sending the request to its complete response.
func (o *Order) Took() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latency
}

// Failure returns the last error response that a server itself gave, nil if there is none.
func (o *Order) Failure() *exchange.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailure
}

// MayHaveRun reports whether a server may have started to run the request.
func (o *Order) MayHaveRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount > 0
}

// SurelyNotRun reports whether certainly no server has run the request: it was sent to none, or only to servers that reported that
// they did not run it.
func (o *Order) SurelyNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount == o.notRunCount
}

// recordNotRun records that a server reported that it did not run an attempt that it was sent.
func (o *Order) recordNotRun() {
	o.mu.Lock()
	o.notRunCount++
	o.mu.Unlock()
	o.uncountAttempt()
}

// Denied returns why the last attempt was not permitted, nil if it was.
func (o *Order) Denied() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.denyErr
}

// ErrSenderChanged is returned for an attempt that is not sent because the client's key was moved to another tenant after the
// request's header was written.
var ErrSenderChanged = errors.New("the client key was moved to another tenant")

// checkPermit asks Permit for the tenant on whose behalf the request may run now, and records an error.
func (o *Order) checkPermit() (tenant string, err error) {
	if o.Permit == nil {
		return "", nil
	}
	tenant, err = o.Permit()
	o.setDenied(err)
	return tenant, err
}

// recheckPermit asks Permit again before the last byte is sent of a request that was written for the given tenant.
func (o *Order) recheckPermit(tenant string) error {
	current, err := o.checkPermit()
	if err == nil && current != tenant {
		err = ErrSenderChanged
		o.setDenied(err)
	}
	return err
}

// setDenied records why the attempt was not permitted; nil if it was.
func (o *Order) setDenied(err error) {
	o.mu.Lock()
	o.denyErr = err
	o.mu.Unlock()
}

// Sent returns how many attempts were sent to a server.
func (o *Order) Sent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentCount
}

// policy returns what happens to an attempt whose caller is cancelled: once-only and cacheable requests are finished.
func (o *Order) policy() departure.Policy {
	if o.OnceOnly || o.Keep {
		return departure.Finish
	}
	return departure.BreakOff
}

// uncountAttempt takes an attempt that was counted as sent out of the tenant's usage again.
func (o *Order) uncountAttempt() {
	if o.Account != nil {
		o.Account.NotRun()
	}
}

// beginAttempt is called before a request's last byte is sent, and counts the attempt as sent. If it returns false, the caller is
// cancelled and the byte must not be sent.
func (o *Order) beginAttempt(tenant string, due time.Time) bool {
	if !o.Caller.Begin(o.policy(), due) {
		return false
	}
	o.mu.Lock()
	o.sentCount++
	o.mu.Unlock()
	if o.Account != nil {
		o.Account.Begun(tenant)
	}
	return true
}
