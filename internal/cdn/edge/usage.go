package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/cdn/usage"
)

// This file counts the tenants' requests and reports the counts to the duty holder.

const (
	reportInterval     = time.Second            // interval of reports
	reportTimeout      = 400 * time.Millisecond // for the holder's answer, and again for each neighbour that relays
	maxReportRelays    = 2                      // neighbours that are asked to relay a report
	processIDBytes     = 6                      // random bytes of a process id
	finalReportTimeout = 300 * time.Millisecond // for the report at a graceful shutdown
	coreClockSource    = "core"                 // clock source name: all core machines are taken as one clock
)

// newProcessID returns a random id that distinguishes this process from earlier ones on the machine.
func newProcessID() string {
	var id [processIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// trueTime returns the wall clock time, corrected for this machine's clock error.
func (e *Edge) trueTime() time.Time { return e.wallClock.Now(time.Now()) }

// usageCounter returns a counter for one request of a tenant and its attempts; nil if usage is not reported.
func (e *Edge) usageCounter(tenant *clusterstate.Tenant) upstream.UsageCounter {
	if e.meter == nil || tenant == nil {
		return nil
	}
	return usage.NewRequestCount(e.meter, e.trueTime)
}

// answerCounter returns a function that counts a tenant's request on a cacheable route if its status is a success; nil if usage is not
// reported.
func (e *Edge) answerCounter(tenant *clusterstate.Tenant) func(status int) {
	if e.meter == nil || tenant == nil {
		return nil
	}
	return func(status int) {
		if status >= http.StatusOK && status < http.StatusMultipleChoices {
			e.meter.Count(tenant.Name, e.trueTime())
		}
	}
}

// reportUsage reports the counts to the duty holder periodically, until the context ends.
func (e *Edge) reportUsage(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.reportUsageOnce(ctx)
		}
	}
}

// reportFinalUsage reports what was counted since the last report, at shutdown.
func (e *Edge) reportFinalUsage() {
	if e.meter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalReportTimeout)
	defer cancel()
	e.reportUsageOnce(ctx)
}

// reportUsageOnce reports the counts that are not yet fixed in the log, through neighbours if the duty holder can't be reached.
func (e *Edge) reportUsageOnce(ctx context.Context) {
	var fixed int64
	e.replica.View(func(s *clusterstate.State) { fixed = s.Usage.Fixed })
	e.meter.DropFixed(fixed)
	report := e.meter.Report(e.trueTime())
	if e.sendReport(ctx, &report) == nil {
		return
	}
	neighbours := e.peerView.Addresses()
	for _, at := range neighbours[:min(len(neighbours), maxReportRelays)] {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := peerrpc.Call[usage.Report, bool](callCtx, e.peers.At(at), "Edge.PassUsage", &report)
		cancel()
		if err == nil {
			return
		}
		e.log.Debug("neighbour did not relay usage report", "err", err)
	}
}

// sendReport sends a report to the duty holder.
func (e *Edge) sendReport(ctx context.Context, report *usage.Report) error {
	holder := ""
	e.replica.View(func(s *clusterstate.State) { holder = s.Duty.Holder })
	if holder == "" {
		return Error.New("usage: there is no duty holder")
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := peerrpc.Call[usage.Report, bool](callCtx, e.peers.At(e.config.InternalAddress(holder, bootconfig.ConfigStorePort)),
		"ConfigStore.Usage", report)
	return err
}

// PassUsage relays a neighbour's report to the duty holder, which that neighbour can't reach.
func (p *peerHandler) PassUsage(report *usage.Report, ok *bool) error {
	if err := p.edge.sendReport(p.edge.lifetime, report); err != nil {
		return err
	}
	*ok = true
	return nil
}
