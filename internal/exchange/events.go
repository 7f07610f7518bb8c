package exchange

import (
	"strconv"
	"time"

	"cedarmast/balance"
)

// event is an input of the loop. apply updates the loop's state and returns the event to pass to the balancer; nil if there is none.
type event interface {
	apply(l *Loop) balance.Event
}

// The events that the loop's methods post.
type (
	requestSubmitted   struct{ *Exchange }
	clientDisconnected struct{ *Exchange }
	attemptEnded       struct {
		*Attempt
		AttemptResult
	}
	serverListReceived  struct{ ServerList }
	peerMessageReceived struct{ content []byte }
	settingsChanged     struct {
		settings balance.Settings
		done     chan<- struct{}
	}
	failAllRequested struct{}
)

// queuedEvent is an event with the time at which it was queued.
type queuedEvent struct {
	event
	queuedAt time.Time
}

// post queues an event. It blocks while the queue is full; once the loop has stopped the event is dropped.
func (l *Loop) post(e event) {
	select {
	case l.events <- queuedEvent{e, time.Now()}:
	case <-l.stopped:
	}
}

// postUrgent passes an event to the loop ahead of all queued ones; false if the loop has stopped.
func (l *Loop) postUrgent(e event) bool {
	select {
	case l.urgent <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// Submit passes a request to the loop. Its exchange gets exactly one answer, by its deadline unless the loop hangs.
func (l *Loop) Submit(x *Exchange) {
	timeout := x.Timeout
	if timeout <= 0 { // the client sent no timeout: use the class's deadline
		timeout = l.classDeadline(x.Class)
	}
	x.Deadline = x.Arrived.Add(timeout - l.lag.margin(timeout))
	l.post(requestSubmitted{x})
}

// ClientDisconnected reports that the exchange's client has disconnected. Its attempts are cancelled and no answer is sent.
func (l *Loop) ClientDisconnected(x *Exchange) { l.post(clientDisconnected{x}) }

// UpdateSettings replaces the settings and returns once the balancer has applied them, or the loop has stopped. Tiers and Placement stay
// unchanged.
func (l *Loop) UpdateSettings(settings balance.Settings) {
	done := make(chan struct{})
	if !l.postUrgent(settingsChanged{settings, done}) {
		return
	}
	select {
	case <-done:
	case <-l.stopped:
	}
}

// UpdateServers passes a server list to the loop, or with kind Failed the information that fetching it failed.
func (l *Loop) UpdateServers(list ServerList) { l.post(serverListReceived{list}) }

// ReceivePeerMessage passes a message from another router to the balancer.
func (l *Loop) ReceivePeerMessage(content []byte) { l.post(peerMessageReceived{content}) }

// FailAll fails all requests in progress without waiting for their deadlines, because the router is about to be killed.
func (l *Loop) FailAll() { l.post(failAllRequested{}) }

func (e queuedEvent) apply(l *Loop) balance.Event {
	l.lag.record(time.Since(e.queuedAt), l.Counters)
	return e.event.apply(l)
}

func (e requestSubmitted) apply(l *Loop) balance.Event {
	x := e.Exchange
	l.lastRequestNumber++
	x.requestID = balance.RequestID(strconv.FormatUint(l.lastRequestNumber, 36))
	l.exchanges[x.requestID] = x
	return balance.Request{ID: x.requestID, Class: x.Class, Tenant: x.Tenant, Key: x.Key, HasKey: x.HasKey, Write: x.Write,
		Due: l.Clock.At(x.Deadline)}
}

func (e clientDisconnected) apply(l *Loop) balance.Event {
	x := e.Exchange
	if x.answered || l.exchanges[x.requestID] != x {
		x.releaseUnreadAnswer()
		return nil
	}
	l.Counters.ClientsDisconnected.Add(1)
	x.answered = true // there is no client to receive an answer
	for _, a := range x.attempts {
		a.cancel(ErrAttemptCancelled)
	}
	l.removeLater(x)
	return balance.ClientGone{ID: x.requestID}
}

func (e attemptEnded) apply(l *Loop) balance.Event {
	x := e.Attempt.Exchange
	l.Counters.Results[e.Result].Add(1)
	if e.Err != nil {
		l.Log.Debug("attempt ended", "server", e.Server, "result", resultNames[e.Result], "err", e.Err,
			"after", time.Since(e.sent))
	}
	answer := Answer{Kind: Served, Header: e.Header, Body: e.Body, Rest: e.Rest, Length: e.Length}
	if l.exchanges[x.requestID] != x { // an attempt from before a restart of the balancer
		answer.Release()
		return nil
	}
	x.inFlight--
	e.Attempt.outcomeApplied = true
	if e.Result == balance.OK && x.SetAnswer(answer) {
		l.Counters.Served.Add(1)
	} else {
		answer.Release()
	}
	done := x.answered
	l.removeLater(x)
	return balance.Outcome{ID: x.requestID, Attempt: e.number, Server: e.Server, Result: e.Result, Fetching: e.FetchPending,
		Done: done, Connect: e.ConnectTime}
}

func (e serverListReceived) apply(l *Loop) balance.Event {
	if e.Kind == balance.Failed {
		return e.ServerList.List
	}
	e.ServerList = l.addresses.markReplaced(e.ServerList)
	l.version = e.Version
	if e.Kind != balance.Partial {
		clear(l.entries)
	}
	for _, entry := range e.Entries {
		if entry.State == balance.Gone {
			delete(l.entries, entry.Server)
		} else {
			l.entries[entry.Server] = entry
		}
	}
	if toClose := l.addresses.update(e.ServerList); len(toClose) > 0 {
		l.goroutines.Go(func() { // asynchronous: closing takes locks that are held during dials and reads
			for _, server := range toClose {
				l.Pool.CloseIdle(server)
			}
		})
	}
	return l.Maintenance.overrideAll(e.ServerList.List, l.entries)
}

func (e settingsChanged) apply(l *Loop) balance.Event {
	e.settings.Tiers, e.settings.Placement = l.Settings.Tiers, l.Settings.Placement
	l.updatedSettings.Store(&e.settings)
	l.afterBatch = append(l.afterBatch, func() { close(e.done) })
	return balance.SettingsChanged{Settings: e.settings}
}

func (failAllRequested) apply(l *Loop) balance.Event {
	l.Log.Warn("failed all requests before their deadlines", "exchanges", len(l.exchanges))
	l.failAll()
	return nil
}

// failAll fails every exchange and cancels its attempts. Failed is always a permitted answer, because it promises nothing.
func (l *Loop) failAll() {
	for _, x := range l.exchanges {
		l.fail(x, true)
		for _, a := range x.attempts {
			a.cancel(ErrAttemptCancelled)
		}
	}
}

func (e peerMessageReceived) apply(*Loop) balance.Event {
	return balance.PeerMessage{Content: e.content}
}
