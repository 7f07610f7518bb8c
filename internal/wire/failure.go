package wire

import (
	"context"
	"errors"
	"fmt"
	"os"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Stage is how far an attempt had come when it ended.
type Stage int

// The stages, in order.
const (
	Dialling Stage = iota // no connection yet
	Writing               // the last byte is not written
	Written               // the last byte is written; the server may have begun
	Reading               // the first byte of the answer has come
)

var stageNames = [...]string{"dialling", "writing", "written", "reading"}

func (s Stage) String() string { return stageNames[s] }

// Failure is the error of an attempt: how far it came and what ended it.
type Failure struct {
	Stage Stage
	Cause error
}

func (f *Failure) Error() string { return fmt.Sprintf("%v: %v", f.Stage, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errMalformed is the cause where a server's answer can't be understood.
var errMalformed = errors.New("malformed answer")

// errDue is the cause where the exchange's time ran out before the server had any of its own.
var errDue = errors.New("due")

// Result is what the failure means to the decisions. That an attempt never ran is said only while its last byte is
// surely unwritten.
func (f *Failure) Result() balance.Result {
	unwritten := f.Stage < Written
	switch {
	case unwritten && (errors.Is(f.Cause, exchange.ErrWithdrawn) || errors.Is(f.Cause, exchange.ErrNoRoom) ||
		errors.Is(f.Cause, errDue)):
		return balance.Moot // not the server's doing
	case unwritten:
		return balance.NoConnect
	case errors.Is(f.Cause, exchange.ErrWithdrawn):
		return balance.Cancelled
	case errors.Is(f.Cause, errMalformed), errors.Is(f.Cause, ErrBodyTooLarge), errors.Is(f.Cause, ErrHeadTooLarge):
		return balance.Spoilt
	case errors.Is(f.Cause, os.ErrDeadlineExceeded), errors.Is(f.Cause, context.DeadlineExceeded),
		errors.Is(f.Cause, errDue):
		return balance.TimedOut
	}
	return balance.Reset
}
