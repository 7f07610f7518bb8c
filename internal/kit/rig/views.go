package rig

import (
	"bytes"
	"strings"
	"syscall"
	"time"

	"cedarmast/internal/kit/ledger"
)

// requestViews makes each router log its view of the nodes once a second, by SIGUSR1. A router of another implementation logs
// nothing and is not disturbed: the kit's own routers ignore the signal.
func (r *Rig) requestViews() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.ctx.Done():
			return
		}
		for _, t := range r.routers {
			t.mu.Lock()
			if t.running && t.ready {
				t.cmd.Process.Signal(syscall.SIGUSR1)
			}
			t.mu.Unlock()
		}
	}
}

// viewReader scans a router's log as it is written for the lines that report its view of the nodes.
type viewReader struct {
	rig     *Rig
	router  string
	partial []byte
}

const maxLineBytes = 4096

func (v *viewReader) Write(p []byte) (int, error) {
	v.partial = append(v.partial, p...)
	for {
		line, rest, ok := bytes.Cut(v.partial, []byte("\n"))
		if !ok {
			break
		}
		if v.partial = rest; bytes.Contains(line, []byte(`msg="server viewed"`)) {
			v.parseView(string(line))
		}
	}
	if len(v.partial) > maxLineBytes {
		v.partial = nil
	}
	return len(p), nil
}

// parseView parses and records one line: the router has the node on its list, and uses it unless it is excluded.
func (v *viewReader) parseView(line string) {
	fields := map[string]string{}
	for _, f := range strings.Fields(line) {
		if name, value, ok := strings.Cut(f, "="); ok {
			fields[name] = value
		}
	}
	node, view := fields["server"], byte(ledger.ViewInUse)
	if span, err := time.ParseDuration(fields["excluded"]); err != nil || span > 0 {
		view = ledger.ViewExcluded
	}
	v.rig.post(func() { v.rig.recordView(v.router, node, view) })
}

// recordView records a router's view of a node in this second. It must be called on the model's goroutine.
func (r *Rig) recordView(router, node string, view byte) {
	second := int(r.world.Now() / time.Second)
	if r.world.Now() < 0 || r.world.Node(node) == nil || second >= int(r.scenario.Length.D()/time.Second) {
		return
	}
	if r.views[router] == nil {
		r.views[router] = map[string][]byte{}
	}
	row := r.views[router][node]
	for len(row) <= second {
		row = append(row, ledger.ViewUnknown)
	}
	row[second] = view
	r.views[router][node] = row
}

// viewRows returns each router's views by node, one letter a second. In a second in which a router reported some nodes, those that
// it did not report are not on its list.
func (r *Rig) viewRows() map[string]map[string]string {
	all := map[string]map[string]string{}
	for router, rows := range r.views {
		var reported []bool
		for _, row := range rows {
			for second, view := range row {
				for len(reported) <= second {
					reported = append(reported, false)
				}
				reported[second] = reported[second] || view != ledger.ViewUnknown
			}
		}
		all[router] = map[string]string{}
		for _, n := range r.world.Nodes {
			row := append([]byte(nil), rows[n.Name]...)
			for second, known := range reported {
				if len(row) <= second {
					row = append(row, ledger.ViewUnknown)
				}
				if known && row[second] == ledger.ViewUnknown {
					row[second] = ledger.ViewExcluded
				}
			}
			all[router][n.Name] = string(row)
		}
	}
	return all
}
