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

// This file counts the tenants' requests and brings the counts to the holder of the duty.

const (
	reportEvery  = time.Second
	reportWithin = 400 * time.Millisecond // for the holder's answer, and as long again by way of a neighbour
	reportRelays = 2                      // neighbours that are asked to pass a report on
	lifeBytes    = 6
	lastReport   = 300 * time.Millisecond // for the report at an end in order
	coreClock    = "core"                 // whichever core machine answers tells the time of all of them

)

// newLife draws what tells this process from those that the machine ran before.
func newLife() string {
	var lot [lifeBytes]byte
	rand.Read(lot[:])
	return hex.EncodeToString(lot[:])
}

// trueTime is the time of day, whatever this machine's own clock shows.
func (e *Edge) trueTime() time.Time { return e.truth.Now(time.Now()) }

// usageAccount is the account of a tenant's request that servers run; nil where nothing is reported.
func (e *Edge) usageAccount(tenant *clusterstate.Tenant) upstream.Account {
	if e.meter == nil || tenant == nil {
		return nil
	}
	return usage.NewRequest(e.meter, e.trueTime)
}

// answerCounter counts a tenant's request on a shelved route by its answer, if that is a success; nil where nothing is reported.
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

// reportUsage tells the holder of the duty, again and again, what has been counted, until the context ends.
func (e *Edge) reportUsage(ctx context.Context) {
	turn := time.NewTicker(reportEvery)
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-turn.C:
			e.reportOnce(ctx)
		}
	}
}

// reportLast tells the holder what was counted since the last report, as the process ends.
func (e *Edge) reportLast() {
	if e.meter == nil {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), lastReport)
	defer done()
	e.reportOnce(ctx)
}

// reportOnce tells the holder what is not fixed in the log, by way of neighbours if it is not reached.
func (e *Edge) reportOnce(ctx context.Context) {
	var fixed int64
	e.replica.Read(func(s *clusterstate.State) { fixed = s.Usage.Fixed })
	e.meter.Fixed(fixed)
	report := e.meter.Report(e.trueTime())
	if e.tellHolder(ctx, &report) == nil {
		return
	}
	neighbours := e.view.Neighbours()
	for _, at := range neighbours[:min(len(neighbours), reportRelays)] {
		call, done := context.WithTimeout(ctx, reportWithin)
		_, err := peerrpc.Call[usage.Report, bool](call, e.peers.At(at), "Edge.PassUsage", &report)
		done()
		if err == nil {
			return
		}
		e.log.Debug("usage not passed on", "err", err)
	}
}

// tellHolder brings a report to the machine that holds the duty.
func (e *Edge) tellHolder(ctx context.Context, report *usage.Report) error {
	holder := ""
	e.replica.Read(func(s *clusterstate.State) { holder = s.Duty.Holder })
	if holder == "" {
		return Error.New("usage: nobody holds the duty")
	}
	call, done := context.WithTimeout(ctx, reportWithin)
	defer done()
	_, err := peerrpc.Call[usage.Report, bool](call, e.peers.At(e.set.Inner(holder, bootconfig.ConfigStorePort)), "ConfigStore.Usage", report)
	return err
}

// PassUsage passes a neighbour's report on to the holder, whom that neighbour does not reach.
func (p *peerCalls) PassUsage(report *usage.Report, ok *bool) error {
	if err := p.edge.tellHolder(p.edge.life, report); err != nil {
		return err
	}
	*ok = true
	return nil
}
