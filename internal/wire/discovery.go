package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Discovery watches the server list. While it is silent or broken the list stays as it is and is asked for again.
type Discovery struct {
	Address string
	Index   int64                    // of the list that is known already; Unknown if none is
	Told    func()                   // called after each list that is told; may be nil
	Listed  func(list exchange.List) // takes what is told, and a list of kind Failed for each failed call
	Clock   exchange.Clock
	Counts  *exchange.Counters
	Log     *slog.Logger

	conn net.Conn
	r    *bufio.Reader
	kick chan struct{} // ends a backoff early
}

// Unknown is the index of a list that is not there; every other number may be one.
const Unknown = -1

const (
	watchFor      = 2 * time.Second       // a connection may fall silent: nothing but the end of a wait shows it
	firstWatchFor = 50 * time.Millisecond // what is newer comes at once: the first call tells whether any is
	watchSlack    = time.Second           // for an answer past its wait
	wholeSlack    = time.Second           // for the whole list, which has nothing to wait for
	dialPatience  = time.Second
	leastBackoff  = 50 * time.Millisecond // under the time in which a watch goes on
	mostBackoff   = 3 * time.Second
	eagerBackoff  = 200 * time.Millisecond // the most while no list is known: after a change of address it is urgent
	maxList       = 8 << 20                // bytes
)

// NewDiscovery returns a watch that Run begins.
func NewDiscovery(address string) *Discovery {
	return &Discovery{Address: address, kick: make(chan struct{}, 1)}
}

// Subscribe asks for a call now, if the next one waits for a backoff to end.
func (d *Discovery) Subscribe() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// Run watches until the context ends. Nothing is told after that.
func (d *Discovery) Run(ctx context.Context) {
	defer d.hangUp()
	wait, backoff, failing := firstWatchFor, leastBackoff, false
	for ctx.Err() == nil {
		asked := time.Now()
		list, err := d.call(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				d.Log.Info("discovery answers again", "index", list.Index)
			}
			wait, backoff, failing = watchFor, leastBackoff, false
			d.Counts.ListAnswers.Add(1)
			news := d.take(list)
			if d.Told != nil {
				d.Told()
			}
			if !news && time.Since(asked) < leastBackoff {
				pauseFor(ctx, leastBackoff) // it does not wait as asked: no busy loop, and still one watch
			}
			continue
		}
		d.Counts.ListFailures.Add(1)
		if !failing {
			d.Log.Warn("discovery failed; the list stays as it is", "err", err)
		}
		failing = true
		d.Listed(exchange.List{List: balance.List{Kind: balance.Failed}})
		select {
		case <-d.kick:
		default:
		}
		pause := backoff/2 + rand.N(backoff/2)
		if backoff = min(2*backoff, mostBackoff); d.Index == Unknown {
			backoff = min(backoff, eagerBackoff)
		}
		select {
		case <-time.After(pause):
		case <-d.kick:
			time.Sleep(leastBackoff / 2) // whoever kicks, it is no busy loop
		case <-ctx.Done():
		}
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// take hands a list on and remembers where the watch goes on; it tells whether there was anything new.
func (d *Discovery) take(e *Endpoints) bool {
	kind := balance.Partial
	if e.Snapshot {
		kind = balance.Complete
	}
	news := e.Index != d.Index || len(e.Endpoints) > 0 && !e.Snapshot
	if news {
		d.Log.Info("list", "index", e.Index, "whole", e.Snapshot, "entries", len(e.Endpoints))
		for _, p := range e.Endpoints {
			if !e.Snapshot {
				d.Log.Info("server listed", "server", p.Name, "status", p.Status, "since_ms", p.SinceMS,
					"weight", p.Weight)
			}
		}
	}
	d.Index = e.Index
	d.Listed(e.List(kind, d.Clock))
	return news
}

// call makes one call on the connection that is kept, or on a new one. After a failure the connection is given up.
func (d *Discovery) call(ctx context.Context, wait time.Duration) (list *Endpoints, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
		if err != nil {
			d.hangUp()
		}
	}()
	if d.conn == nil {
		dialer := net.Dialer{Timeout: dialPatience}
		c, err := dialer.DialContext(ctx, "tcp", d.Address)
		if err != nil {
			return nil, err
		}
		d.conn, d.r = c, bufio.NewReaderSize(c, maxHead)
	}
	target, patience := "/registry/instances", wholeSlack
	if d.Index != Unknown {
		patience = wait + watchSlack
		target += fmt.Sprintf("?index=%d&wait=%d", d.Index, wait.Milliseconds())
	}
	conn := d.conn
	conn.SetDeadline(time.Now().Add(patience))
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, d.Address)
	if _, err := writeMessage(d.conn, head, nil); err != nil {
		return nil, fmt.Errorf("asking for the list: %w", err)
	}
	if _, err := awaitHead(d.r, 0); err != nil {
		return nil, fmt.Errorf("waiting for the list: %w", err)
	}
	resp, err := http.ReadResponse(d.r, nil)
	if err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		d.Index = Unknown // it may not know that version: the whole list will do
		return nil, fmt.Errorf("asking for the list: status %d", resp.StatusCode)
	}
	if len(text) > maxList {
		return nil, fmt.Errorf("reading the list: over %d bytes", maxList)
	}
	if list, err = ParseEndpoints(text); err != nil {
		return nil, err
	}
	if resp.Close {
		d.hangUp()
	}
	return list, nil
}

func (d *Discovery) hangUp() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}
