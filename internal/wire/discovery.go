package wire

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Discovery watches the server list at the discovery service. While the service does not answer or its answers are
// malformed, the known list stays in use and the call is retried with backoff.
type Discovery struct {
	Address     string
	Index       int64                          // of the list that is known already; UnknownIndex if there is none
	OnDelivered func()                         // called after each list passed to OnList; may be nil
	OnList      func(list exchange.ServerList) // receives each list, and a list of kind Failed for each failed call
	Clock       exchange.Clock
	Counters    *exchange.Counters
	Log         *slog.Logger

	conn     net.Conn
	reader   *bufio.Reader
	retryNow chan struct{} // ends a backoff pause early
}

// UnknownIndex is the index while no list is known. Any other number, 0 included, may be the index of a list.
const UnknownIndex = -1

const (
	watchWait             = 2 * time.Second       // long-poll wait; a dead connection shows only when a wait has passed
	firstWatchWait        = 50 * time.Millisecond // long-poll wait of the first call: a newer list is returned at once
	watchSlack            = time.Second           // for an answer after the long-poll wait
	fullListTimeout       = time.Second           // for a full list, which is returned without a wait
	dialTimeout           = time.Second
	minBackoff            = 50 * time.Millisecond // shorter than the time within which a watch must continue
	maxBackoff            = 3 * time.Second
	maxBackoffWithoutList = 200 * time.Millisecond // upper limit while no list is known, as after a change of the service's address
	maxListBytes          = 8 << 20                // bytes
)

// NewDiscovery returns a Discovery for the service at address. Run starts it.
func NewDiscovery(address string) *Discovery {
	return &Discovery{Address: address, retryNow: make(chan struct{}, 1)}
}

// RetryNow makes the next call at once if it is waiting for a backoff to end.
func (d *Discovery) RetryNow() {
	select {
	case d.retryNow <- struct{}{}:
	default:
	}
}

// Run watches the list until the context ends. OnList and OnDelivered are not called after that.
func (d *Discovery) Run(ctx context.Context) {
	defer d.closeConn()
	wait, backoff, failing := firstWatchWait, minBackoff, false
	for ctx.Err() == nil {
		started := time.Now()
		list, err := d.fetchList(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				d.Log.Info("discovery answers again", "index", list.Index)
			}
			wait, backoff, failing = watchWait, minBackoff, false
			d.Counters.ListAnswers.Add(1)
			changed := d.deliverList(list)
			if d.OnDelivered != nil {
				d.OnDelivered()
			}
			if !changed && time.Since(started) < minBackoff {
				sleepContext(ctx, minBackoff) // the service does not honour the long-poll wait: avoid a busy loop
			}
			continue
		}
		d.Counters.ListFailures.Add(1)
		if !failing {
			d.Log.Warn("discovery failed; keeping the current list", "err", err)
		}
		failing = true
		d.OnList(exchange.ServerList{List: balance.List{Kind: balance.Failed}})
		select {
		case <-d.retryNow:
		default:
		}
		pause := backoff/2 + rand.N(backoff/2)
		if backoff = min(2*backoff, maxBackoff); d.Index == UnknownIndex {
			backoff = min(backoff, maxBackoffWithoutList)
		}
		select {
		case <-time.After(pause):
		case <-d.retryNow:
			time.Sleep(minBackoff / 2) // repeated calls of RetryNow must not cause a busy loop
		case <-ctx.Done():
		}
	}
}

// sleepContext sleeps for d or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// deliverList passes a list to OnList and records its index for the next call. It reports whether the list had changed.
func (d *Discovery) deliverList(list *Endpoints) bool {
	kind := balance.Partial
	if list.Snapshot {
		kind = balance.Complete
	}
	changed := list.Index != d.Index || len(list.Endpoints) > 0 && !list.Snapshot
	if changed {
		d.Log.Info("list", "index", list.Index, "whole", list.Snapshot, "entries", len(list.Endpoints))
		for _, ep := range list.Endpoints {
			if !list.Snapshot {
				d.Log.Info("server listed", "server", ep.Name, "status", ep.Status, "since_ms", ep.SinceMS,
					"weight", ep.Weight)
			}
		}
	}
	d.Index = list.Index
	d.OnList(list.ServerList(kind, d.Clock))
	return changed
}

// fetchList makes one call, on the kept connection or a new one, with a long-poll wait if a list is known. After a failure
// the connection is closed.
func (d *Discovery) fetchList(ctx context.Context, wait time.Duration) (list *Endpoints, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
		if err != nil {
			d.closeConn()
		}
	}()
	if d.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		c, err := dialer.DialContext(ctx, "tcp", d.Address)
		if err != nil {
			return nil, err
		}
		d.conn, d.reader = c, bufio.NewReaderSize(c, maxHead)
	}
	target, timeout := "/registry/instances", fullListTimeout
	if d.Index != UnknownIndex {
		timeout = wait + watchSlack
		target += fmt.Sprintf("?index=%d&wait=%d", d.Index, wait.Milliseconds())
	}
	conn := d.conn
	conn.SetDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, d.Address)
	if _, err := writeMessage(d.conn, head, nil); err != nil {
		return nil, fmt.Errorf("requesting the server list: %w", err)
	}
	if _, err := awaitHead(d.reader, 0); err != nil {
		return nil, fmt.Errorf("waiting for the server list: %w", err)
	}
	resp, err := http.ReadResponse(d.reader, nil)
	if err != nil {
		return nil, fmt.Errorf("reading the server list: %w", err)
	}
	body, err := readBody(resp.Body, resp.ContentLength, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("reading the server list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		d.Index = UnknownIndex // the service may not know this version: fetch the full list next
		return nil, fmt.Errorf("requesting the server list: status %d", resp.StatusCode)
	}
	if list, err = ParseEndpoints(body); err != nil {
		return nil, err
	}
	if resp.Close {
		d.closeConn()
	}
	return list, nil
}

// closeConn closes the kept connection, if there is one.
func (d *Discovery) closeConn() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}
