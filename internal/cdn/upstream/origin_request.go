package upstream

import (
	"errors"
	"sync"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"
)

// Order is what a request adds for its attempts, kept until its answer is out.
type Order struct {
	// ID is a client's Try-Id: an answer is told by it from one to another request that comes late. Servers tell no id that no
	// client has sent, so what is asked without one goes over a connection of its own.
	ID       string
	OnceOnly bool
	Stamped  bool              // a success without stamp is none
	Keep     bool              // its answer becomes a copy: what was sent is finished though its caller has left
	Caller   *departure.Caller // whom it is for
	// Permit is asked right before an attempt connects, and again before its last byte leaves: it names the tenant that the request runs for,
	// empty for none, or says why it must not run. nil: nobody need be asked.
	Permit func() (sender string, err error)
	// Account hears of what servers may have begun for a sender; nil: nobody counts it.
	Account Account

	mu   sync.Mutex
	last *exchange.Reply  // the last answer of a server that ran it and failed
	sent int              // times that it went to a server: it may have run there
	not  int              // of them, those that a server said not to have run
	deny error            // why it was not sent last time; nil once it was sent again
	by   balance.ServerID // who answered
	took time.Duration    // from its sending to its answer, whole
}

// Account counts a request for what is reported of its tenant.
type Account interface {
	Begun(sender string) // an attempt leaves for a server, which may begin it
	NotRun()             // a server has surely not begun an attempt that left
}

// Server is who gave the answer that was taken, or the last one.
func (o *Order) Server() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.by)
}

// Took is how long that server took.
func (o *Order) Took() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.took
}

// Failure returns the last failure that a server itself answered; nil if there is none.
func (o *Order) Failure() *exchange.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// MayHaveRun tells whether a server may have begun the request.
func (o *Order) MayHaveRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent > 0
}

// SurelyNotRun tells whether no server has begun the request: it went to none, or to such alone as have said so.
func (o *Order) SurelyNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent == o.not
}

// notRun notes that a server has said not to have run what it was sent.
func (o *Order) notRun() {
	o.mu.Lock()
	o.not++
	o.mu.Unlock()
	o.neverBegun()
}

// Denied is why the last attempt was not let go to a server; nil if it was.
func (o *Order) Denied() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deny
}

// ErrSenderChanged is why an attempt is not sent whose key has moved to another tenant since its head was written.
var ErrSenderChanged = errors.New("the key has moved to another tenant")

// permit asks for whom the request may run now, and notes why it must not.
func (o *Order) permit() (sender string, err error) {
	if o.Permit == nil {
		return "", nil
	}
	sender, err = o.Permit()
	o.denied(err)
	return sender, err
}

// confirm asks once more, before the last byte may leave of what was written for a sender.
func (o *Order) confirm(sender string) error {
	now, err := o.permit()
	if err == nil && now != sender {
		err = ErrSenderChanged
		o.denied(err)
	}
	return err
}

func (o *Order) denied(err error) {
	o.mu.Lock()
	o.deny = err
	o.mu.Unlock()
}

// Sent is how often it went to a server.
func (o *Order) Sent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// policy is what becomes of an attempt whose caller leaves: what may run once, and what becomes a copy, is finished.
func (o *Order) policy() departure.Policy {
	if o.OnceOnly || o.Keep {
		return departure.Finish
	}
	return departure.BreakOff
}

// neverBegun takes an attempt that left out of the account again.
func (o *Order) neverBegun() {
	if o.Account != nil {
		o.Account.NotRun()
	}
}

// begin is called before a request's last byte may leave. It is false if the caller has left: then that byte must not.
func (o *Order) begin(sender string, due time.Time) bool {
	if !o.Caller.Begin(o.policy(), due) {
		return false
	}
	o.mu.Lock()
	o.sent++
	o.mu.Unlock()
	if o.Account != nil {
		o.Account.Begun(sender)
	}
	return true
}
