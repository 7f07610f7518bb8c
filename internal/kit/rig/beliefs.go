package rig

import (
	"bytes"
	"strings"
	"syscall"
	"time"

	"cedarmast/internal/kit/ledger"
)

// askBeliefs has each router say once a second what its decisions hold of the nodes. A router of another make says
// nothing, and is not disturbed: the kit's own ignore the signal.
func (r *Rig) askBeliefs() {
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

// viewReader reads a router's log as it is written, for the lines that tell its view of the nodes.
type viewReader struct {
	rig    *Rig
	router string
	rest   []byte
}

const longestLine = 4096

func (v *viewReader) Write(p []byte) (int, error) {
	v.rest = append(v.rest, p...)
	for {
		line, rest, ok := bytes.Cut(v.rest, []byte("\n"))
		if !ok {
			break
		}
		if v.rest = rest; bytes.Contains(line, []byte(`msg="server viewed"`)) {
			v.viewed(string(line))
		}
	}
	if len(v.rest) > longestLine {
		v.rest = nil
	}
	return len(p), nil
}

// viewed notes one line: the router has the node on its list, and uses it unless it is excluded.
func (v *viewReader) viewed(line string) {
	fields := map[string]string{}
	for _, f := range strings.Fields(line) {
		if name, value, ok := strings.Cut(f, "="); ok {
			fields[name] = value
		}
	}
	node, letter := fields["server"], byte(ledger.ViewInUse)
	if span, err := time.ParseDuration(fields["excluded"]); err != nil || span > 0 {
		letter = ledger.ViewExcluded
	}
	v.rig.post(func() { v.rig.believed(v.router, node, letter) })
}

// believed notes what a router holds of a node in this second. It is called on the model's goroutine.
func (r *Rig) believed(router, node string, letter byte) {
	second := int(r.world.Now() / time.Second)
	if r.world.Now() < 0 || r.world.Node(node) == nil || second >= int(r.set.Length.D()/time.Second) {
		return
	}
	if r.beliefs[router] == nil {
		r.beliefs[router] = map[string][]byte{}
	}
	row := r.beliefs[router][node]
	for len(row) <= second {
		row = append(row, ledger.ViewUnknown)
	}
	row[second] = letter
	r.beliefs[router][node] = row
}

// believedAll are the rows of all routers. In a second in which a router told of some nodes, it does not have those on its
// list that it did not tell of.
func (r *Rig) believedAll() map[string]map[string]string {
	all := map[string]map[string]string{}
	for router, rows := range r.beliefs {
		var told []bool
		for _, row := range rows {
			for second, letter := range row {
				for len(told) <= second {
					told = append(told, false)
				}
				told[second] = told[second] || letter != ledger.ViewUnknown
			}
		}
		all[router] = map[string]string{}
		for _, n := range r.world.Nodes {
			row := append([]byte(nil), rows[n.Name]...)
			for second, known := range told {
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
