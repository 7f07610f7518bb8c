package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cedarmast/balance"
	"cedarmast/internal/settings"
)

// host runs the instances of one process, which share no state.
type host struct {
	out       *bufio.Writer
	operator  *settings.Operator
	instances map[int]*balance.Balancer
	pending   map[int][]balance.Event
	active    []int // instances with events in this batch, in order of their first event
	inBatch   bool
	clock     balance.Time
	batch     int64
}

// Run reads batches from in and writes the responses to out until the input ends. An error names the line that caused it.
func Run(in io.Reader, out io.Writer, operator *settings.Operator) error {
	h := &host{operator: operator, out: bufio.NewWriterSize(out, 1<<16), instances: map[int]*balance.Balancer{},
		pending: map[int][]balance.Event{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n') // any length
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: reading: %w", n, err)
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := h.handleLine(text); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if err != nil {
			if h.inBatch {
				return fmt.Errorf("line %d: input ends inside batch %d", n, h.batch)
			}
			return nil
		}
	}
}

// handleLine handles one message.
func (h *host) handleLine(text []byte) error {
	var l message
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("malformed message: %w", err)
	}
	switch {
	case l.Name == "Frame" && h.inBatch:
		return fmt.Errorf("Frame %d inside batch %d", l.Batch, h.batch)
	case l.Name == "Frame" && balance.Time(l.Clock) < h.clock:
		return fmt.Errorf("Frame %d goes back in time, from %d to %d", l.Batch, h.clock, l.Clock)
	case l.Name == "Frame" && l.Batch <= h.batch:
		return fmt.Errorf("Frame %d out of order, after batch %d", l.Batch, h.batch)
	case l.Name == "Frame":
		h.inBatch, h.clock, h.batch = true, balance.Time(l.Clock), l.Batch
		return nil
	case !h.inBatch:
		return fmt.Errorf("message %q outside a batch", l.Name)
	case l.Name == "Flush":
		return h.flush()
	case l.Instance == nil:
		return fmt.Errorf("message %q names no instance", l.Name)
	}
	return h.queueEvent(*l.Instance, &l)
}

// queueEvent queues an event for its instance until the batch ends, or starts or stops the instance.
func (h *host) queueEvent(i int, l *message) error {
	switch l.Name {
	case "Start":
		if l.Profile == nil {
			return errors.New("Start without ProfileData")
		}
		set := l.Profile.Settings()
		h.operator.Apply(&set)
		h.instances[i] = balance.New(set, l.Seed)
	case "Shutdown": // its queued events are dropped as well
		delete(h.instances, i)
		h.pending[i] = nil
		return nil
	}
	if h.instances[i] == nil {
		return fmt.Errorf("message %q for instance %d, which has not started", l.Name, i)
	}
	if l.Name == "Start" {
		return nil
	}
	e, err := l.toEvent()
	if err != nil || e == nil {
		return err
	}
	if len(h.pending[i]) == 0 {
		h.active = append(h.active, i)
	}
	h.pending[i] = append(h.pending[i], e)
	return nil
}

// flush passes the queued events to their instances and writes their actions, followed by the end of the batch.
func (h *host) flush() error {
	for _, i := range h.active {
		if len(h.pending[i]) == 0 || h.instances[i] == nil {
			continue
		}
		for _, a := range h.instances[i].Handle(h.clock, h.pending[i]) {
			text, err := encode(i, a)
			if err != nil {
				return fmt.Errorf("batch %d: %w", h.batch, err)
			}
			h.out.Write(text)
			h.out.WriteByte('\n')
		}
		h.pending[i] = h.pending[i][:0]
	}
	h.active, h.inBatch = h.active[:0], false
	fmt.Fprintf(h.out, "{\"m\":\"Yield\",\"n\":%d}\n", h.batch)
	if err := h.out.Flush(); err != nil {
		return fmt.Errorf("writing the reply to batch %d: %w", h.batch, err)
	}
	return nil
}
