package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// The stage and the cause of a failure determine the attempt's result. A result never claims more than is known.
func TestFailureResults(t *testing.T) {
	for _, c := range []struct {
		stage Stage
		cause error
		want  balance.Result
	}{
		{Dialling, syscall.ECONNREFUSED, balance.NoConnect},
		{Dialling, os.ErrDeadlineExceeded, balance.NoConnect},
		{Dialling, exchange.ErrAttemptCancelled, balance.NeverSent},
		{Dialling, exchange.ErrPoolExhausted, balance.NeverSent},
		{Dialling, errDeadlinePassed, balance.NeverSent},
		{Writing, syscall.EPIPE, balance.NoConnect},
		{Writing, context.DeadlineExceeded, balance.NoConnect},
		{Writing, exchange.ErrAttemptCancelled, balance.NeverSent},
		{Written, io.EOF, balance.Reset},
		{Written, syscall.ECONNRESET, balance.Reset},
		{Written, context.DeadlineExceeded, balance.TimedOut},
		{Written, exchange.ErrAttemptCancelled, balance.Cancelled},
		{Written, exchange.ErrPoolExhausted, balance.Reset}, // can't occur at this stage: the result that excludes least
		{Reading, io.ErrUnexpectedEOF, balance.Reset},
		{Reading, fmt.Errorf("%w: %w", errMalformed, io.EOF), balance.Malformed},
		{Reading, ErrBodyTooLarge, balance.Malformed},
		{Reading, exchange.ErrAttemptCancelled, balance.Cancelled},
	} {
		f := &Failure{c.stage, c.cause}
		if got := f.Result(); got != c.want {
			t.Errorf("%v: result %d, want %d", f, got, c.want)
		}
		if neverRan := f.Result().HadNoEffect(); neverRan != (c.stage < Written) {
			t.Errorf("%v: never ran: %v", f, neverRan)
		}
		if !errors.Is(f, c.cause) {
			t.Errorf("%v hides its cause", f)
		}
	}
}
