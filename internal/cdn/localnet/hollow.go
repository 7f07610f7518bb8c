package localnet

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
)

// Load is what a measurement plays against real core machines: hollow edges, which run the real control code and share this
// process, and orders at a steady rate.
type Load struct {
	Edges, Servers int
	Purges, Puts   float64 // a second
	Routes         int     // of the configuration
	For            time.Duration
}

// Measured is what came of it. Costs of a core machine are the busiest one's.
type Measured struct {
	Load
	ConfigStoreCPU, RegistryCPU float64 // of a core
	ConfigStoreMB, RegistryMB   float64
	EdgeCPU                     float64          // of a core, for one edge
	EdgeKB                      float64          // memory of one edge, by the growth of this process
	EdgeIn, EdgeOut             float64          // bytes a second of one edge
	Everywhere                  [3]time.Duration // from acknowledgement to every edge: median, worst; and the worst from sending
	Orders, NotEverywhere       int
	JournalKB                   float64 // written by the leader's journal in the time
}

func (m Measured) row() string {
	ms := func(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }
	return fmt.Sprintf("%6d %7d %6.1f %5.1f %6d %9.4f %7.1f %9.4f %7.1f %9.5f %7.1f %8.0f %8.0f %6s %6s %6s %6d", m.Edges, m.Servers, m.Purges, m.Puts, m.Routes, m.ConfigStoreCPU, m.ConfigStoreMB,
		m.RegistryCPU, m.RegistryMB, m.EdgeCPU, m.EdgeKB, m.EdgeIn, m.EdgeOut, ms(m.Everywhere[0]), ms(m.Everywhere[1]), ms(m.Everywhere[2]), m.NotEverywhere)
}

const head = " edges servers purges  puts routesstore cpu stor MB   reg cpu  reg MB  edge cpu edge KB   B/s in  B/s out  med ms max ms sent ms missed"

// order is one order on its way to every edge.
type order struct {
	sent, acked time.Time
	left        atomic.Int64
	last        atomic.Int64 // unix nano
}

// Measure starts core machines and plays each load against them, one after the other, each on a fresh network.
func Measure(ctx context.Context, shape Shape, loads []Load, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	if shape.Program == nil {
		shape.Program = func(name string) []string { return []string{filepath.Join(filepath.Dir(self), name), "run"} }
	}
	fmt.Fprintln(out, head)
	for _, l := range loads {
		m, err := measure(ctx, shape, l)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, m.row())
	}
	return nil
}

func measure(ctx context.Context, shape Shape, l Load) (m Measured, err error) {
	m.Load = l
	if shape.Dir, err = os.MkdirTemp("", "measure"); err != nil {
		return m, Error.Wrap(err)
	}
	defer os.RemoveAll(shape.Dir)
	shape.Edges = 0
	n, err := Start(shape)
	if err != nil {
		return m, err
	}
	defer n.Stop()
	version := 1
	if _, _, err := n.Control(ctx, "PUT", "/manifest", grown(version, 0, l.Routes)); err != nil {
		return m, err
	}
	for i := range l.Servers {
		body := fmt.Appendf(nil, `{"id":"i-%d","carrier":"shop","address":"127.0.0.1:%d","zone":"zone-1","edition":"v1","berths":8,"state":"open","warmup":"0ms","postmark":1}`, i, 10000+i)
		if _, _, err := n.Control(ctx, "PUT", fmt.Sprint("/servers/i-", i), body); err != nil {
			return m, err
		}
	}

	var mu sync.Mutex
	orders := map[string]*order{} // by version or tag
	edges, all := make([]*statesync.Replica, l.Edges), make([]*peerrpc.Peers, l.Edges)
	life, end := context.WithCancel(ctx)
	defer end()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var seeds []string
	for _, c := range n.Machines[:min(3, len(n.Machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
	}
	for i := range edges {
		s := statesync.New()
		all[i] = peerrpc.NewPeers()
		s.Set = bootconfig.Settings{Node: fmt.Sprint("hollow-", i), IP: "127.0.0.1", Seeds: seeds, SparePort: sparePort, Bounds: bootconfig.Bounds{Contact: 3 * time.Second}}
		s.Peers, s.Log = all[i], hclog.NewNullLogger()
		s.Router = clusterstate.Router{Node: s.Set.Node, Zone: "zone-1", Address: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250)}
		s.Took = func(state *clusterstate.State, c clusterstate.Command, _ uint64, whole bool) {
			key := ""
			switch {
			case c.Configures():
				key = state.Version.String()
			case c.Purge != nil:
				key = c.Purge.Tag
			}
			if key == "" {
				return
			}
			mu.Lock()
			o := orders[key]
			mu.Unlock()
			if o != nil {
				o.last.Store(time.Now().UnixNano())
				o.left.Add(-1)
			}
		}
		edges[i] = s
		go s.Run(life)
	}
	for _, s := range edges { // each is in touch, and the roster has all
		for {
			phase, _ := s.Phase()
			known := 0
			s.Read(func(state *clusterstate.State) { known = len(state.Routers) })
			if phase == statesync.InTouch && known >= l.Edges {
				break
			}
			select {
			case <-ctx.Done():
				return m, Error.Wrap(ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.EdgeKB = float64(int64(after.HeapInuse+after.StackInuse)-int64(before.HeapInuse+before.StackInuse)) / 1024 / float64(max(l.Edges, 1))

	type costs struct{ store, registry float64 }
	read := func() (c []costs) {
		for _, x := range n.Machines {
			c = append(c, costs{cpuOf(x.processes["configstore"].Process.Pid), cpuOf(x.processes["registry"].Process.Pid)})
		}
		return c
	}
	bytes := func() (in, out int64) {
		for _, p := range all {
			a, b := p.Bytes()
			in, out = in+a, out+b
		}
		return in, out
	}
	own := func() float64 {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
	}
	first, firstIn, firstOut, firstOwn, begun := read(), int64(0), int64(0), own(), time.Now()
	firstIn, firstOut = bytes()
	var wg sync.WaitGroup
	give := func(rate float64, do func(k int) (string, func() bool)) {
		if rate <= 0 {
			return
		}
		wg.Go(func() {
			every := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer every.Stop()
			for k := 0; time.Since(begun) < l.For; k++ {
				key, send := do(k)
				o := &order{sent: time.Now()}
				o.left.Store(int64(l.Edges))
				mu.Lock()
				orders[key] = o
				mu.Unlock()
				if !send() {
					o.left.Store(-1)
				}
				o.acked = time.Now()
				select {
				case <-every.C:
				case <-ctx.Done():
					return
				}
			}
		})
	}
	give(l.Purges, func(k int) (string, func() bool) {
		tag := fmt.Sprint("t", k)
		return tag, func() bool {
			status, _, err := n.Control(ctx, "POST", "/purge", fmt.Appendf(nil, `{"tag":"%s"}`, tag))
			return err == nil && status == 200
		}
	})
	give(l.Puts, func(int) (string, func() bool) {
		base := version
		version++
		return fmt.Sprint("r", version), func() bool {
			status, _, err := n.Control(ctx, "PUT", "/manifest", grown(base+1, base, l.Routes))
			return err == nil && status == 200
		}
	})
	if l.Purges+l.Puts <= 0 {
		select {
		case <-time.After(l.For):
		case <-ctx.Done():
		}
	}
	wg.Wait()
	select {
	case <-time.After(3 * time.Second):
	case <-ctx.Done():
	}
	span := time.Since(begun).Seconds()
	last, lastOwn := read(), own()
	lastIn, lastOut := bytes()
	for i, x := range n.Machines {
		m.ConfigStoreCPU = max(m.ConfigStoreCPU, (last[i].store-first[i].store)/span)
		m.RegistryCPU = max(m.RegistryCPU, (last[i].registry-first[i].registry)/span)
		m.ConfigStoreMB = max(m.ConfigStoreMB, peakOf(x.processes["configstore"].Process.Pid))
		m.RegistryMB = max(m.RegistryMB, peakOf(x.processes["registry"].Process.Pid))
	}
	per := float64(max(l.Edges, 1)) * span
	m.EdgeCPU, m.EdgeIn, m.EdgeOut = (lastOwn-firstOwn)/per, float64(lastIn-firstIn)/per, float64(lastOut-firstOut)/per
	var spans []time.Duration
	for _, o := range orders {
		m.Orders++
		switch left := o.left.Load(); {
		case left != 0:
			m.NotEverywhere++
		case l.Edges > 0:
			at := time.Unix(0, o.last.Load())
			spans = append(spans, max(at.Sub(o.acked), 0))
			m.Everywhere[2] = max(m.Everywhere[2], at.Sub(o.sent))
		}
	}
	if slices.Sort(spans); len(spans) > 0 {
		m.Everywhere[0], m.Everywhere[1] = spans[len(spans)/2], spans[len(spans)-1]
	}
	return m, nil
}

// Loads reads lists of figures, divided by commas, and returns a load for each combination.
func Loads(span time.Duration, edges, servers, purges, puts, routes string) (all []Load, err error) {
	var figures [5][]float64
	for i, text := range []string{edges, servers, purges, puts, routes} {
		for part := range strings.SplitSeq(text, ",") {
			v, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil || v < 0 {
				return nil, Error.New("%q: figures divided by commas expected", text)
			}
			figures[i] = append(figures[i], v)
		}
	}
	for _, e := range figures[0] {
		for _, s := range figures[1] {
			for _, p := range figures[2] {
				for _, c := range figures[3] {
					for _, r := range figures[4] {
						all = append(all, Load{Edges: int(e), Servers: int(s), Purges: p, Puts: c, Routes: int(r), For: span})
					}
				}
			}
		}
	}
	return all, nil
}

// grown is a configuration of so many routes.
func grown(edition, base, routes int) []byte {
	extra := make([]string, max(routes-3, 0))
	for i := range extra {
		extra[i] = fmt.Sprint("route", i)
	}
	return Manifest(edition, base, "shop", extra...)
}

// cpuOf is a process's processor time so far, in seconds.
func cpuOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // ticks of the system's clock
}

// peakOf is the most memory that a process has held, in MB.
func peakOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest + " 0")[0], 64)
	return kb / 1024
}
