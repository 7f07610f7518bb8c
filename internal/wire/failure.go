package wire

import (
	"context"
	"errors"
	"fmt"
	"os"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Stage is the phase of an attempt in which it failed.
type Stage int

// The stages, in order.
const (
	Dialling Stage = iota // no connection yet
	Writing               // the last byte is not written
	Written               // the last byte is written; the server may have started processing
	Reading               // the first byte of the response has arrived
)

var stageNames = [...]string{"dialling", "writing", "written", "reading"}

// String returns the stage's name.
func (s Stage) String() string { return stageNames[s] }

// Failure is the error of a failed attempt: the stage it had reached and the cause.
type Failure struct {
	Stage Stage
	Cause error
}

// Error returns the stage and the cause.
func (f *Failure) Error() string { return fmt.Sprintf("%v: %v", f.Stage, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errMalformed is the cause of a failure if the server's response can't be parsed.
var errMalformed = errors.New("malformed response")

// errDeadlinePassed is the cause if the exchange's deadline passed before there was a connection to the server.
var errDeadlinePassed = errors.New("due")

// Result returns the attempt result that the balancer gets. A result that says the attempt had no effect is returned only
// if the last byte of the request was certainly not written.
func (f *Failure) Result() balance.Result {
	unwritten := f.Stage < Written
	switch {
	case unwritten && (errors.Is(f.Cause, exchange.ErrAttemptCancelled) || errors.Is(f.Cause, exchange.ErrPoolExhausted) ||
		errors.Is(f.Cause, errDeadlinePassed)):
		return balance.NeverSent // not caused by the server
	case unwritten:
		return balance.NoConnect
	case errors.Is(f.Cause, exchange.ErrAttemptCancelled):
		return balance.Cancelled
	case errors.Is(f.Cause, errMalformed), errors.Is(f.Cause, ErrBodyTooLarge), errors.Is(f.Cause, ErrHeadTooLarge):
		return balance.Malformed
	case errors.Is(f.Cause, os.ErrDeadlineExceeded), errors.Is(f.Cause, context.DeadlineExceeded),
		errors.Is(f.Cause, errDeadlinePassed):
		return balance.TimedOut
	}
	return balance.Reset
}
