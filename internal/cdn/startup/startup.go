// Package startup retries the steps of a process's start that fail for a reason that will pass: an address that a predecessor still holds,
// a disk that refuses, descriptors or memory that are short. Ending the process would turn a moment's trouble into an outage.
package startup

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logInterval is the time between two log lines on a step that keeps failing for the same reason.
const logInterval = 5 * time.Second

// Step is one step of a start.
type Step struct {
	Name     string // for the log
	Interval time.Duration
	Timeout  time.Duration    // after which the last error is returned; 0: none
	IsFinal  func(error) bool // reports whether an error will not pass; nil: none is final
	Do       func() error
}

// Run runs the step until it succeeds, fails with a final error, or its timeout or the context ends. It returns the context's error only
// if the context has ended.
func (s Step) Run(ctx context.Context, log hclog.Logger) error {
	var failures failureLog
	started := time.Now()
	for {
		err := s.Do()
		switch {
		case err == nil:
			failures.succeeded(s.Name, started, log)
			return nil
		case s.IsFinal != nil && s.IsFinal(err), s.Timeout > 0 && time.Since(started) >= s.Timeout:
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		failures.failed(s.Name, err, log)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.Interval):
		}
	}
}

// failureLog logs the failures of a step: the first one, each with another reason, and one every logInterval.
type failureLog struct {
	reason   string
	loggedAt time.Time
}

func (f *failureLog) failed(step string, err error, log hclog.Logger) {
	if reason := err.Error(); reason != f.reason || time.Since(f.loggedAt) >= logInterval {
		f.reason, f.loggedAt = reason, time.Now()
		log.Warn("waiting, the start goes on once this succeeds", "step", step, "err", err)
	}
}

func (f *failureLog) succeeded(step string, started time.Time, log hclog.Logger) {
	if f.reason != "" {
		log.Info("succeeded after waiting", "step", step, "after", time.Since(started).Round(time.Millisecond))
	}
}
