package exchange

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"cedarmast/balance"
)

// Maintenance is the maintenance state of the cache servers as set by operators. It takes precedence over service discovery. A process
// stores it and passes it on to its successor.
type Maintenance struct {
	Out  map[balance.ServerID]bool         `json:"out"`  // servers taken out of service until they are put back
	Back map[balance.ServerID]balance.Time `json:"back"` // time at which a server was put back; it may have restarted before
}

// NewMaintenance returns a state in which no server is or was in maintenance.
func NewMaintenance() Maintenance {
	return Maintenance{map[balance.ServerID]bool{}, map[balance.ServerID]balance.Time{}}
}

// Copy returns a deep copy.
func (m Maintenance) Copy() Maintenance {
	c := NewMaintenance()
	maps.Copy(c.Out, m.Out)
	maps.Copy(c.Back, m.Back)
	return c
}

// Merge merges two states: a server is out if it is out in either, and the later time of being put back counts.
func (m Maintenance) Merge(other Maintenance) Maintenance {
	merged := m.Copy()
	maps.Copy(merged.Out, other.Out)
	for server, back := range other.Back {
		merged.Back[server] = max(merged.Back[server], back)
	}
	return merged
}

// Errors of a maintenance command.
var (
	ErrUnknownServer = errors.New("no such cache server")
	ErrTooManyOut    = errors.New("too many cache servers are out")
	ErrStopped       = errors.New("the router has stopped")
)

// maxOut is the maximum number of servers that are out at once. Without it the state would grow without limit by servers that are never
// put back, because nothing else removes them.
const maxOut = 4096

// maintenanceCommand is the event that takes a server out of service or puts it back.
type maintenanceCommand struct {
	server          balance.ServerID
	out             bool
	fromPeerProcess bool         // forwarded by the other process of a replacement, which may know a server that this one does not know yet
	done            chan<- error // buffered, capacity 1
}

// SetMaintenance takes a server out of service or puts it back, and returns once the balancer has applied the change. It is idempotent.
func (l *Loop) SetMaintenance(server balance.ServerID, out bool) error {
	return l.runCommand(maintenanceCommand{server: server, out: out})
}

// MirrorMaintenance applies a maintenance command that the other process of a replacement received. Unlike SetMaintenance it accepts
// unknown servers.
func (l *Loop) MirrorMaintenance(server balance.ServerID, out bool) error {
	return l.runCommand(maintenanceCommand{server: server, out: out, fromPeerProcess: true})
}

// runCommand passes a maintenance command to the loop and waits for its result.
func (l *Loop) runCommand(command maintenanceCommand) error {
	done := make(chan error, 1)
	command.done = done
	return l.postAndWait(command, done)
}

// postAndWait passes an urgent event to the loop and waits for its result; ErrStopped if the loop stops first.
func (l *Loop) postAndWait(e event, done <-chan error) error {
	if !l.postUrgent(e) {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-l.stopped:
		return ErrStopped
	}
}

// PeerMaintenance is a maintenance command that another router received, with the time since then.
type PeerMaintenance struct {
	Server balance.ServerID
	Out    bool
	Age    time.Duration
}

// ApplyPeerMaintenance applies maintenance commands that other routers received, and returns once the balancer has applied them. A server
// that was put back counts as started, with a cold cache, at the time of that command, even if this router never knew that it was out.
func (l *Loop) ApplyPeerMaintenance(commands []PeerMaintenance) error {
	done := make(chan error, 1)
	return l.postAndWait(peerCommands{commands, done}, done)
}

// peerCommands is the event that applies maintenance commands of other routers.
type peerCommands struct {
	commands []PeerMaintenance
	done     chan<- error // buffered, capacity 1
}

func (e peerCommands) apply(l *Loop) balance.Event {
	var err error
	changes := balance.List{Kind: balance.Partial, Version: l.version}
	for _, c := range e.commands {
		entry, listed := l.entries[c.Server]
		m, backAt := &l.Maintenance, l.Clock.Now().Add(-c.Age)
		switch {
		case c.Out && m.Out[c.Server], !c.Out && !m.Out[c.Server] && (!listed || max(m.Back[c.Server], entry.Started) >= backAt):
			continue // already applied
		case c.Out && len(m.Out) >= maxOut:
			err = fmt.Errorf("%w: %d", ErrTooManyOut, len(m.Out))
			continue
		case c.Out:
			m.Out[c.Server] = true
			l.goroutines.Go(func() { l.Pool.CloseIdle(c.Server) })
		default:
			delete(m.Out, c.Server)
			if listed {
				m.Back[c.Server] = max(m.Back[c.Server], backAt)
			}
		}
		if listed {
			l.Log.Info("maintenance state adopted from another router", "server", c.Server, "out", c.Out, "servers_out", len(m.Out))
			changes.Entries = append(changes.Entries, m.override(entry))
		}
	}
	l.afterBatch = append(l.afterBatch, func() { e.done <- err })
	if len(changes.Entries) == 0 {
		return nil
	}
	return changes
}

// Snapshot returns copies of the current server list and of the maintenance state, and the caches' recent answer rate: answers per second
// for a weight of 1 of warm caches.
func (l *Loop) Snapshot() (list ServerList, maintenance Maintenance, answerRate float64, err error) {
	reply := make(chan loopState, 1)
	if l.postUrgent(stateRequest{reply}) {
		select {
		case state := <-reply:
			return state.list, state.maintenance, state.answerRate, nil
		case <-l.stopped:
		}
	}
	return ServerList{}, Maintenance{}, 0, ErrStopped
}

type (
	// loopState is a copy of the loop's state.
	loopState struct {
		list        ServerList
		maintenance Maintenance

		answerRate float64
	}
	// stateRequest is the event that asks the loop for its state; the channel has a capacity of 1.
	stateRequest struct{ reply chan<- loopState }
)

func (e stateRequest) apply(l *Loop) balance.Event {
	state := loopState{list: ServerList{balance.List{Kind: balance.Complete, Version: l.version}, map[balance.ServerID]string{}},
		maintenance: l.Maintenance.Copy()}
	if d, ok := l.balancer.(overallViewer); ok {
		state.answerRate = d.Overall(l.Clock.Now()).AnswerRate
	}
	for server, entry := range l.entries {
		state.list.Entries = append(state.list.Entries, entry)
		state.list.Addresses[server] = l.addresses[server].address
	}
	e.reply <- state
	return nil
}

func (command maintenanceCommand) apply(l *Loop) balance.Event {
	e, err := l.applyCommand(command)
	l.afterBatch = append(l.afterBatch, func() { command.done <- err }) // success means that the balancer has applied the command
	return e
}

// applyCommand updates the maintenance state and returns the event that informs the balancer; nil if nothing changes for it.
func (l *Loop) applyCommand(command maintenanceCommand) (balance.Event, error) {
	entry, listed := l.entries[command.server]
	m := &l.Maintenance
	switch {
	case !listed && !m.Out[command.server] && !command.fromPeerProcess:
		return nil, ErrUnknownServer
	case command.out == m.Out[command.server]:
		return nil, nil
	case command.out && len(m.Out) >= maxOut:
		return nil, fmt.Errorf("%w: %d", ErrTooManyOut, len(m.Out))
	case command.out:
		m.Out[command.server] = true
		l.goroutines.Go(func() { l.Pool.CloseIdle(command.server) })
	default:
		delete(m.Out, command.server)
		if listed {
			m.Back[command.server] = l.Clock.Now()
		}
	}
	if !listed {
		return nil, nil
	}
	l.Log.Info("maintenance", "server", command.server, "out", command.out, "servers_out", len(m.Out))
	return balance.List{Kind: balance.Partial, Version: l.version, Entries: []balance.Entry{m.override(entry)}}, nil
}

// override returns a discovered entry as changed by the maintenance state.
func (m *Maintenance) override(e balance.Entry) balance.Entry {
	if e.State == balance.Up && m.Out[e.Server] {
		e.State = balance.Draining
	}
	if back, ok := m.Back[e.Server]; ok && back > e.Started {
		e.Started = back
	}
	return e
}

// overrideAll applies override to a list, after removing the times in Back of servers that are no longer listed or have restarted since.
func (m *Maintenance) overrideAll(l balance.List, entries map[balance.ServerID]balance.Entry) balance.List {
	for server, back := range m.Back {
		if e, listed := entries[server]; !listed || e.Started > back {
			delete(m.Back, server)
		}
	}
	if len(m.Out) == 0 && len(m.Back) == 0 {
		return l
	}
	overridden := make([]balance.Entry, len(l.Entries))
	for i, e := range l.Entries {
		overridden[i] = m.override(e)
	}
	l.Entries = overridden
	return l
}
