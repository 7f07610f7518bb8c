// Package configstore is the store of configuration's process: a core machine's part in the log, the common state that it makes,
// and the answers to those who ask what is new.
package configstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/raftlog"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("configstore")

const (
	tick          = 30 * time.Millisecond
	freshFor      = 900 * time.Millisecond // a majority heard within this: what is told is current
	renewBytes    = 4 << 20                // of journal, then a snapshot begins a new one
	renewEntries  = 4000
	batch         = 256
	retryDisk     = 100 * time.Millisecond
	liveFor       = 2 * time.Second  // a core machine heard within this may hold a duty
	absentFor     = 12 * time.Second // who has not been heard for twice as long is forgotten
	needFor       = 2 * time.Second  // what a cache router needs counts for so long after it said so
	toldEvery     = time.Second      // the leader hears who has asked, or beaten, at the other config stores
	enrolAgain    = time.Second
	enrolTogether = 150 * time.Millisecond // newcomers of so long are one change of every table
	dialPatience  = 200 * time.Millisecond // among core machines: one that has no power yet is asked again soon, and may vote
	leaveWithin   = 700 * time.Millisecond
)

// Store is the process. Run starts it.
type Store struct {
	set   bootconfig.Settings
	log   hclog.Logger
	peers *peerrpc.Peers

	in        chan []consensus.Message
	proposals chan *proposal
	barriers  chan *reading
	quit      chan struct{}
	done      chan struct{}

	// The loop's own:
	node    *consensus.Node
	journal journal
	slow    slowness
	waiting map[uint64]*proposal
	reads   map[uint64]*reading
	token   uint64
	senders map[string]chan []consensus.Message
	led     time.Time // since when this node has led
	duty    time.Time // of the last look at duties
	seeds   []string  // as the node was last told

	gather gather

	mu        sync.Mutex
	history   *clusterstate.History
	changed   chan struct{} // closed and made anew with every change
	leader    string        // address
	leads     bool
	since     time.Time // when it began to lead
	fresh     bool
	turned    time.Time // when the loop last came round
	core      []string
	applied   uint64                // the last entry of the log that the state has
	attended  map[string]time.Time  // cache routers that asked here, and servers that were heard here
	present   map[string]time.Time  // at the leader: anywhere
	enrolled  map[string]time.Time  // when their entry was last proposed
	newcomers []clusterstate.Router // who asked and is not in the roster; proposed together
	told      time.Time             // when the leader was last told who asked here
	looked    time.Time             // when the lists of who was heard were last looked through
	needs     map[string]needed     // by cache router, while this machine holds the duty
	status    Status

	wrap func(journal) journal // a test's way to the disk; nil in service
}

// journal is the disk's part: *raftlog.Journal.
type journal interface {
	Begin(id string, h raftlog.Held) error
	Save(hard *consensus.Hard, snap *consensus.Snapshot, entries []consensus.Entry) error
	Note(committed uint64)
	Renew(hard consensus.Hard, snap consensus.Snapshot, entries []consensus.Entry) error
	Reopen() error
	Size() int64
	Close()
}

// slowness measures a disk by what it was asked for: a leader gives way whose writes take so long that all orders wait for them, though each one
// succeeds. One slow write is none; the measure is of the last few.
type slowness struct {
	mean time.Duration
	n    int
}

const (
	slowWrite  = 90 * time.Millisecond // some forty times what a sync usually takes
	slowWrites = 4                     // in the mean at least
)

// turn takes a write's time and tells whether the disk is slow; then it begins anew.
func (s *slowness) turn(took time.Duration) bool {
	s.n++
	s.mean += (took - s.mean) / time.Duration(min(s.n, 2*slowWrites))
	if s.n < slowWrites || s.mean < slowWrite {
		return false
	}
	*s = slowness{}
	return true
}

// needed is what a cache router would ask of the servers, and when it said so.
type needed struct {
	per map[string]float64
	at  time.Time
}

// Status is what a config store tells of itself.
type Status struct {
	ID, Role, Leader     string
	Term, Commit, Index  uint64
	Members              []string
	Journal              int64 // bytes
	Version              string
	Servers, Routers     int
	Duty                 clusterstate.Duty
	Fresh, DiskFails     bool
	Syncs, Messages, Put uint64
}

type proposal struct {
	data  []byte
	term  uint64
	reply chan answer
}

type reading struct{ reply chan barrierEnd }

type barrierEnd struct {
	index uint64
	ok    bool
}

type answer struct {
	clusterstate.Outcome
	known bool // what became of it is known
	begun bool // it may be in the log
}

// Run opens the disk, serves the other processes and takes part in the log until the context ends.
func Run(ctx context.Context, set bootconfig.Settings, log hclog.Logger) error {
	return run(ctx, set, log, nil)
}

func run(ctx context.Context, set bootconfig.Settings, log hclog.Logger, wrap func(journal) journal) error {
	if set.DataDir == "" {
		return Error.New("self.data_dir: missing: the log needs a disk")
	}
	c := &Store{set: set, log: log, peers: peerrpc.NewPeers(), in: make(chan []consensus.Message, 256), proposals: make(chan *proposal, 1024),
		barriers: make(chan *reading, 256), quit: make(chan struct{}), done: make(chan struct{}),
		waiting: map[uint64]*proposal{}, reads: map[uint64]*reading{}, senders: map[string]chan []consensus.Message{},
		changed: make(chan struct{}), attended: map[string]time.Time{}, present: map[string]time.Time{},
		enrolled: map[string]time.Time{}, needs: map[string]needed{}, wrap: wrap}
	c.peers.DialPatience = dialPatience
	if err := c.open(); err != nil {
		return err
	}
	defer c.journal.Close()
	listener, err := net.Listen("tcp", set.Inner(set.IP, bootconfig.ConfigStorePort))
	if err != nil {
		return Error.Wrap(err)
	}
	log.Info("started", "id", c.node.Self().ID, "address", c.node.Self().Addr, "members", len(c.node.Members())) // the node is the loop's from here on
	go peerrpc.Serve(listener, "ConfigStore", &service{c})
	go c.loop()
	<-ctx.Done()
	close(c.quit)
	<-c.done
	listener.Close()
	log.Info("ended in order")
	return nil
}

// open reads the disk. An empty one is a first start or a loss: in the second case this machine counts as a new one.
func (c *Store) open() error {
	opened, held, err := raftlog.Open(c.set.DataDir)
	if err != nil {
		return err
	}
	c.journal = opened
	if c.wrap != nil {
		c.journal = c.wrap(opened)
	}
	self := consensus.Member{ID: held.ID, Addr: c.set.Inner(c.set.IP, bootconfig.ConfigStorePort)}
	var first []consensus.Member
	seed := false
	for _, s := range c.set.Seeds {
		ip := bootconfig.HostOf(s)
		first = append(first, consensus.Member{ID: ip, Addr: c.set.Inner(ip, bootconfig.ConfigStorePort)})
		seed = seed || ip == c.set.IP
	}
	state := clusterstate.New()
	if held.ID == "" {
		switch {
		case c.set.FirstStart && seed:
			self.ID, held.Snapshot.Conf = c.set.IP, first
		default:
			var lot [6]byte
			rand.Read(lot[:])
			self.ID = c.set.IP + "~" + hex.EncodeToString(lot[:])
		}
		held.ID = self.ID
		for wait := true; wait; { // a disk that is full or slow may come round
			if err = c.journal.Begin(held.ID, held); err == nil {
				break
			}
			c.log.Error("disk not ready", "err", err)
			time.Sleep(retryDisk)
		}
	} else if len(held.Snapshot.Data) > 0 {
		if state, err = decodeState(held.Snapshot.Data); err != nil {
			return err
		}
	}
	c.history, c.applied = clusterstate.NewHistory(state), held.Snapshot.Index
	c.replay(held)
	var lot [8]byte
	rand.Read(lot[:])
	c.node = consensus.New(self, held.Hard, held.Snapshot, held.Entries, c.contacts(), consensus.Usual,
		uint64(lot[0])|uint64(lot[1])<<8|uint64(lot[2])<<16|uint64(lot[3])<<24, time.Now())
	c.node.SeenHere, c.node.Attended = c.seenHere, c.heardOf
	return nil
}

// contacts are the seeds' config stores, as the settings file names them by now.
func (c *Store) contacts() (all []string) {
	for _, s := range c.set.SeedsNow() {
		all = append(all, c.set.Inner(bootconfig.HostOf(s), bootconfig.ConfigStorePort))
	}
	return all
}

// replay applies what the disk knows to be committed, before anybody asks: after a loss of power each machine would else do it once a leader
// is there, first the leader, then the others, an eighth of a second each on a quarter of a core, and all wait for it. The node hands the
// same entries over once more, and the history passes over what it has.
func (c *Store) replay(held raftlog.Held) {
	for _, e := range held.Entries {
		if e.Index > held.Committed {
			return
		}
		if len(e.Data) > 0 {
			if _, _, err := c.history.Apply(e.Index, e.Data); err != nil {
				c.log.Error("entry not readable", "index", e.Index, "err", err)
			}
		}
	}
}

func encodeState(s *clusterstate.State) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		panic(err) // a plain struct
	}
	return b.Bytes()
}

func decodeState(data []byte) (*clusterstate.State, error) {
	s := clusterstate.New()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, Error.New("snapshot: %w", err)
	}
	return s, nil
}

// loop is the one goroutine that owns the node and the journal.
func (c *Store) loop() {
	defer close(c.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	quit := c.quit
	var leave <-chan time.Time
	for {
		select {
		case m := <-c.in:
			c.step(m)
		case p := <-c.proposals:
			c.propose(p)
		case r := <-c.barriers:
			c.barrier(r)
		case <-ticker.C:
		case <-quit:
			quit = nil
			if c.node.Role() == consensus.Leader {
				c.node.HandOver()
			}
			leave = time.After(leaveWithin)
		case <-leave:
			return
		}
	more:
		for range batch {
			select {
			case m := <-c.in:
				c.step(m)
			case p := <-c.proposals:
				c.propose(p)
			case r := <-c.barriers:
				c.barrier(r)
			default:
				break more
			}
		}
		if named := c.set.SeedsNow(); !slices.Equal(named, c.seeds) {
			c.seeds = named
			c.node.SetContacts(c.contacts())
		}
		c.node.Tick(time.Now())
		if c.node.Role() == consensus.Leader {
			c.lead()
		} else {
			c.led = time.Time{}
		}
		c.node.Flush()
		for c.carryOut() {
		}
		c.publish()
		c.letGo(time.Now())
		c.renew()
	}
}

func (c *Store) step(all []consensus.Message) {
	now := time.Now()
	for _, m := range all {
		c.node.Step(now, m)
	}
}

func (c *Store) propose(p *proposal) {
	index, term, ok := c.node.Propose(p.data)
	if !ok {
		p.reply <- answer{}
		return
	}
	p.term = term
	if old := c.waiting[index]; old != nil { // of an earlier time as leader: its entry was replaced
		old.reply <- answer{begun: true}
	}
	c.waiting[index] = p
}

func (c *Store) barrier(r *reading) {
	c.token++
	c.reads[c.token] = r
	c.node.Barrier(c.token)
}

// carryOut saves, sends and applies what the node has ready; false if there is nothing.
func (c *Store) carryOut() bool {
	r := c.node.Take()
	if r.Empty() {
		return false
	}
	if !c.save(r) {
		return false
	}
	c.node.Saved()
	for _, m := range r.Messages {
		c.send(m)
	}
	if r.Snapshot != nil {
		state, err := decodeState(r.Snapshot.Data)
		if err != nil {
			c.log.Error("snapshot not readable", "err", err)
		} else {
			c.mu.Lock()
			c.history, c.applied = clusterstate.NewHistory(state), r.Snapshot.Index
			c.mu.Unlock()
		}
	}
	c.apply(r.Committed)
	for _, read := range r.Reads {
		if w := c.reads[read.Token]; w != nil {
			delete(c.reads, read.Token)
			w.reply <- barrierEnd{read.Index, read.OK}
		}
	}
	return true
}

// save writes to the disk. While it takes nothing this machine does nothing either: it hands over once, and whatever hangs
// on the write is neither said nor done.
func (c *Store) save(r consensus.Ready) bool {
	if r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 {
		return true
	}
	for failed := false; ; {
		c.journal.Note(c.applied)
		begun := time.Now()
		err := c.journal.Save(r.Hard, r.Snapshot, r.Entries)
		if err == nil {
			if took := time.Since(begun); c.slow.turn(took) && c.node.Role() == consensus.Leader {
				c.log.Warn("disk is slow; gives way", "last", took.Round(time.Millisecond))
				c.node.GiveWay()
			}
			c.mu.Lock()
			c.status.Syncs++
			c.status.DiskFails = false
			c.mu.Unlock()
			return true
		}
		if !failed {
			failed = true
			c.log.Error("disk takes nothing; waiting for it", "err", err)
			c.node.GiveWay()
			for _, m := range c.node.Take().Messages {
				if m.Kind == consensus.TakeOver {
					c.send(m)
				}
			}
			c.mu.Lock()
			c.status.DiskFails, c.fresh, c.leads, c.leader = true, false, false, ""
			c.mu.Unlock()
		}
		c.refuseAll()
		select {
		case <-c.quit:
			return false
		case <-time.After(retryDisk):
		}
		if err := c.journal.Reopen(); err != nil {
			c.log.Error("journal not opened", "err", err)
		}
	}
}

// refuseAll answers what waits for a loop that can't go on. Of what may be in the log nothing is promised.
func (c *Store) refuseAll() {
	for {
		select {
		case <-c.in:
		case p := <-c.proposals:
			p.reply <- answer{}
		case r := <-c.barriers:
			r.reply <- barrierEnd{}
		default:
			return
		}
	}
}

// apply takes committed entries on and answers who waits for them.
func (c *Store) apply(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		out := clusterstate.Outcome{Status: clusterstate.Done}
		if len(e.Data) > 0 {
			var err error
			if _, out, err = c.history.Apply(e.Index, e.Data); err != nil {
				c.log.Error("entry not readable", "index", e.Index, "err", err)
			}
		}
		if p := c.waiting[e.Index]; p != nil {
			delete(c.waiting, e.Index)
			p.reply <- answer{Outcome: out, known: p.term == e.Term, begun: true}
		}
	}
	c.applied = entries[len(entries)-1].Index
	close(c.changed)
	c.changed = make(chan struct{})
}

// publish shows the rest of the process where the node stands.
func (c *Store) publish() {
	_, leader := c.node.Leader()
	members := c.node.Members()
	core := make([]string, 0, len(members))
	for _, m := range members {
		core = append(core, m.Addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turned = time.Now()
	fresh := c.node.Fresh(freshFor)
	if leader != c.leader || fresh != c.fresh {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.leader, c.leads, c.since, c.fresh, c.core = leader, c.node.Role() == consensus.Leader, c.led, fresh, core
	c.status.Role, c.status.Term, c.status.Commit = c.node.Role().String(), c.node.Term(), c.node.Commit()
	c.status.ID, c.status.Journal = c.node.Self().ID, c.journal.Size()
}

// renew begins a new journal with a snapshot when the present one has grown long.
func (c *Store) renew() {
	if c.journal.Size() < renewBytes && c.node.LogSize() < renewEntries {
		return
	}
	c.mu.Lock()
	index, data := c.history.State.Index, encodeState(c.history.State)
	c.mu.Unlock()
	if !c.node.Compact(index, data) {
		return
	}
	hard, snap, entries := c.node.Held()
	if err := c.journal.Renew(hard, snap, entries); err != nil {
		c.log.Error("no room for a new journal; the old one goes on", "err", err)
	}
}

// lead does what falls to the leader: it appoints the duty's holder, the first live core machine in the order of addresses.
func (c *Store) lead() {
	now := time.Now()
	if c.led.IsZero() {
		c.led, c.duty = now, now
		c.log.Info("leads", "term", c.node.Term())
	}
	if now.Sub(c.duty) < liveFor/4 {
		return
	}
	c.duty = now
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.history.State
	live := c.node.Live(liveFor)
	holder := ""
	for _, m := range live { // in the order of addresses
		if ip := bootconfig.HostOf(m.Addr); holder == "" || ip < holder {
			holder = ip
		}
	}
	lives := false
	for _, m := range live {
		lives = lives || bootconfig.HostOf(m.Addr) == state.Duty.Holder
	}
	if !lives && holder != "" && now.Sub(c.led) > liveFor/2 {
		c.node.Propose(clusterstate.Command{Appoint: holder}.Encode())
	}
	for node, at := range c.present {
		if now.Sub(at) > 2*absentFor {
			delete(c.present, node)
		}
	}
}

// seenHere is who has asked this machine for news, for the leader, at times.
func (c *Store) seenHere() (seen []string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.told) < toldEvery {
		return nil
	}
	c.told = now
	for node, at := range c.attended {
		if now.Sub(at) < 2*toldEvery {
			seen = append(seen, node)
		}
	}
	return seen
}

// letGo forgets who has not been heard here for long, whatever this machine's role: a leader is told by nobody's question to
// look through its own list.
func (c *Store) letGo(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.looked) < absentFor {
		return
	}
	c.looked = now
	for node, at := range c.attended {
		if now.Sub(at) > 2*absentFor {
			delete(c.attended, node)
			delete(c.enrolled, node)
		}
	}
	for node, n := range c.needs {
		if now.Sub(n.at) > needFor {
			delete(c.needs, node)
		}
	}
}

func (c *Store) heardOf(seen []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range seen {
		c.present[node] = time.Now()
	}
}

// send hands a message to its address's sender; what can't go out in time is dropped, for the node says it again.
func (c *Store) send(m consensus.Message) {
	to := c.senders[m.ToAddr]
	if to == nil {
		to = make(chan []consensus.Message, 64)
		c.senders[m.ToAddr] = to
		go c.sender(m.ToAddr, to)
	}
	select {
	case to <- []consensus.Message{m}:
	default:
	}
}

func (c *Store) sender(address string, in <-chan []consensus.Message) {
	peer := c.peers.At(address)
	for {
		var all []consensus.Message
		select {
		case all = <-in:
		case <-c.done:
			return
		}
	more:
		for len(all) < 64 {
			select {
			case next := <-in:
				all = append(all, next...)
			default:
				break more
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		_, err := peerrpc.Call[[]consensus.Message, bool](ctx, peer, "ConfigStore.Deliver", &all)
		cancel()
		if err != nil {
			c.log.Debug("not delivered", "err", err)
		}
	}
}

// wait waits until the loop's published state passes the test, or the context ends.
func (c *Store) wait(ctx context.Context, test func() bool) bool {
	for {
		c.mu.Lock()
		ok, changed := test(), c.changed
		c.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

var errNoLeader = fmt.Errorf("no leader that has a majority")
