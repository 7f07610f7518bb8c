package configstore

import (
	"bytes"
	"encoding/gob"
	"errors"
	"maps"
	"slices"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/raftlog"

	"github.com/hashicorp/go-hclog"
)

const (
	freshFor     = 1100 * time.Millisecond // a majority led within this: what is told is current
	renewBytes   = 4 << 20                 // of journal, then a snapshot begins a new one
	renewEntries = 4000
	renewAgain   = time.Second // after a renewal that had no room
	retryDisk    = 100 * time.Millisecond
	liveFor      = 2 * time.Second // a core machine heard within this may hold a duty
)

// ErrNotBegun is the cause where a disk took nothing when the machine was opened: it may later.
var ErrNotBegun = errors.New("the disk takes nothing")

// Weaknesses take guards out, one each, beside those of the agreement. They are for tests that show that a guard is needed
// and that the simulation finds its absence; nothing else sets one, which a test sees to.
type Weaknesses struct {
	Consensus               consensus.Weaknesses
	KeepIdentity            bool // a machine that lost its disk votes under its old identity
	SendBeforeSave          bool // answers leave before what they promise is on disk
	AcknowledgeBeforeCommit bool // a leader confirms what is on its own disk alone
	ForgetTaken             bool // a snapshot leaves out which configurations were taken
	IgnoreEpoch             bool // commands under an older duty's epoch take effect
}

// MachineConfig is what a core machine is made from.
type MachineConfig struct {
	IP         string
	Address    string             // of its config store
	Founders   []consensus.Member // the members at the first start of the whole system
	FirstStart bool
	Contacts   []string // addresses of others that may know a leader
	Tolerate   int      // machines that may be lost at once
	Timing     consensus.Timing
	Seed       uint64
	Weak       Weaknesses

	Log      hclog.Logger
	Send     func(consensus.Message) // must not wait
	Identity func() string           // draws what tells a new disk from those before it
	Clock    func() time.Time        // the steady clock, for the time that a write takes
	Wrap     func(Journal) Journal   // a test's way to the disk; may be nil

	Limits       consensus.Limits        // zero: the usual ones
	DutyLease    time.Duration           // an appointment to the duty follows the one before it by this at least; 0: at once
	RenewEntries int                     // of the log, then a snapshot begins a new journal; 0: as usual
	Committed    func([]consensus.Entry) // hears what is taken, for a simulation; may be nil
}

// Journal is the disk's part: *raftlog.Journal.
type Journal interface {
	Begin(held raftlog.Held) error
	Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error
	Note(committed uint64)
	Renew(hard consensus.HardState, snap consensus.Snapshot, entries []consensus.Entry) error
	Grown(most int64) bool
	Size() int64
	Close()
}

// Machine is one core machine's part in the log and the common state that it makes: what the process's loop does, without a
// goroutine or a clock of its own, so that a simulation can do it as well. It belongs to one goroutine; what others may read
// of it is its View.
type Machine struct {
	MachineConfig
	View *View

	node     *consensus.Node
	journal  Journal
	slow     slowness
	unsaved  *consensus.Ready // what the disk has not taken yet
	failing  bool             // it has refused it
	retryAt  time.Time        // when it is asked again
	renewAt  time.Time        // when a renewal that had no room is tried again
	waiting  map[uint64]proposal
	barriers map[uint64]func(Barrier)
	token    uint64
	led      time.Time // since when this machine has led
	looked   time.Time // when it last looked who holds the duty
	duty     tenure    // of the present holder, as far as this leader saw it
}

// tenure is since when a leader has seen the duty with its present holder, or proposed another one.
type tenure struct {
	duty  clusterstate.Duty
	since time.Time
}

// follow notes who holds the duty. What a leader saw in an earlier time as leader does not count.
func (t *tenure) follow(d clusterstate.Duty, now time.Time) {
	if t.since.IsZero() || t.duty != d {
		*t = tenure{d, now}
	}
}

// over tells whether another holder may be appointed. Where nobody has held the duty yet nobody's acts can meet another's.
func (t *tenure) over(now time.Time, lease time.Duration) bool {
	return t.duty.Holder == "" || now.Sub(t.since) >= lease
}

// proposal is a command in the log whose outcome somebody waits for.
type proposal struct {
	term  uint64
	reply func(Reply)
}

// Reply is what became of a proposal.
type Reply struct {
	clusterstate.Outcome
	Known bool // else it may or may not come into force
}

// Barrier is the end of a read barrier: a state that has applied Index holds all that was acknowledged before.
type Barrier struct {
	Index uint64
	OK    bool
}

// OpenMachine reads the disk. An empty one is a first start or a loss: in the second case this machine counts as a new one.
// With the cause ErrNotBegun it may be opened again later; any other error is final.
func OpenMachine(c MachineConfig, files raftlog.Files, now time.Time) (*Machine, error) {
	opened, held, lost, err := raftlog.Open(files)
	if err != nil {
		return nil, err
	}
	if lost != "" {
		c.Log.Error("DISK SPOILT: what it had synced can't be read; it counts as lost, and was set aside", "file", lost)
	}
	if c.RenewEntries == 0 {
		c.RenewEntries = renewEntries
	}
	m := &Machine{MachineConfig: c, journal: opened, waiting: map[uint64]proposal{}, barriers: map[uint64]func(Barrier){}}
	if c.Wrap != nil {
		m.journal = c.Wrap(opened)
	}
	if held.ID == "" {
		m.found(&held, lost != "")
	}
	history, err := replay(held)
	if err != nil {
		return nil, err
	}
	m.journal.Note(held.Committed)
	if err := m.journal.Begin(held); err != nil {
		m.journal.Close()
		return nil, errors.Join(ErrNotBegun, err)
	}
	m.node = consensus.New(consensus.Config{Self: consensus.Member{ID: held.ID, Addr: c.Address}, Timing: c.Timing, Tolerate: c.Tolerate,
		Seed: c.Seed, Contacts: c.Contacts, Weak: c.Weak.Consensus, Limits: c.Limits, Hard: held.Hard, Snapshot: held.Snapshot, Entries: held.Entries}, now)
	m.View = newView(history, held.Snapshot.Index)
	m.node.SeenHere = func() []string { return m.View.seenHere(m.node.Role() == consensus.Leader) }
	m.node.Attended = m.View.heardOf
	return m, nil
}

// found gives an empty disk its identity. At the first start of the whole system the founders have those that all know.
func (m *Machine) found(held *raftlog.Held, lost bool) {
	founder := false
	for _, f := range m.Founders {
		founder = founder || f.ID == m.IP
	}
	if founder && (m.FirstStart && !lost || m.Weak.KeepIdentity) {
		held.ID, held.Snapshot.Membership.Voters = m.IP, m.Founders
		return
	}
	held.ID = m.IP + "~" + m.Identity()
}

// replay makes the state that the disk knows to be committed, before anybody asks: after a loss of power each machine would
// else do it once a leader is there, first the leader, then the others, an eighth of a second each on a quarter of a core,
// and all wait for it. The node hands the same entries over once more, and the history passes over what it has.
func replay(held raftlog.Held) (*clusterstate.History, error) {
	state := clusterstate.New()
	if len(held.Snapshot.Data) > 0 {
		var err error
		if state, err = decodeState(held.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	history := clusterstate.NewHistory(state)
	for _, e := range held.Entries {
		if e.Index > held.Committed {
			break
		}
		if _, err := applyEntry(history, e); err != nil {
			return nil, err
		}
	}
	return history, nil
}

// applyEntry takes a committed entry on. One that can't be read is the end of this copy: to pass over it would let it differ
// from the others without a sign.
func applyEntry(history *clusterstate.History, e consensus.Entry) (clusterstate.Outcome, error) {
	if len(e.Data) == 0 {
		return clusterstate.Outcome{Status: clusterstate.Done}, nil
	}
	_, out, err := history.Apply(e.Index, e.Data)
	if err != nil {
		return out, Error.New("entry %d can't be read; this copy ends here: %w", e.Index, err)
	}
	return out, nil
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

// Close lets the disk go.
func (m *Machine) Close() { m.journal.Close() }

// Self is this machine as a member.
func (m *Machine) Self() consensus.Member { return m.node.Self() }

// Membership is the membership in force, by this machine's log.
func (m *Machine) Membership() consensus.Membership { return m.node.Membership() }

// Term is the machine's term.
func (m *Machine) Term() uint64 { return m.node.Term() }

// Leads tells whether the machine leads.
func (m *Machine) Leads() bool { return m.node.Role() == consensus.Leader }

// Waiting is how many proposals and barriers have no answer yet.
func (m *Machine) Waiting() int { return len(m.waiting) + len(m.barriers) }

// SetContacts names others that may know a leader, in the place of those named before.
func (m *Machine) SetContacts(addrs []string) { m.node.SetContacts(addrs) }

// Leave begins the machine's leaving for good, or for a while; Left tells when its process may end.
func (m *Machine) Leave() {
	m.node.Leave()
}

// Left tells whether a leaving machine may end: nothing hangs on it alone.
func (m *Machine) Left() bool { return m.node.Left() }

// Deliver brings messages of the agreement. While the disk takes nothing they are passed over, as if they had been lost.
func (m *Machine) Deliver(now time.Time, all []consensus.Message) {
	if m.failing {
		return
	}
	for _, message := range all {
		m.node.Step(now, message)
	}
}

// Propose brings a command into the log. One that can't be read never gets there. The reply comes once its outcome is known,
// or at once when it will not be known here.
func (m *Machine) Propose(data []byte, reply func(Reply)) {
	if _, err := clusterstate.Decode(data); err != nil {
		reply(Reply{Outcome: clusterstate.Outcome{Status: clusterstate.Invalid, Text: err.Error()}, Known: true})
		return
	}
	if m.failing {
		reply(Reply{})
		return
	}
	index, term, ok := m.node.Propose(data)
	if !ok {
		reply(Reply{})
		return
	}
	if old, there := m.waiting[index]; there { // of an earlier time as leader: its entry was replaced
		old.reply(Reply{})
	}
	m.waiting[index] = proposal{term, reply}
}

// AskBarrier asks for a read barrier.
func (m *Machine) AskBarrier(reply func(Barrier)) {
	if m.failing {
		reply(Barrier{})
		return
	}
	m.token++
	m.barriers[m.token] = reply
	m.node.Barrier(m.token)
}

// Turn lets the time pass and carries out what is to be done. An error ends this copy.
func (m *Machine) Turn(now time.Time) error {
	if !m.failing {
		m.node.Tick(now)
		m.lead(now)
		m.node.Flush()
	}
	if err := m.carryOut(now); err != nil {
		return err
	}
	if !m.Leads() { // who waits asks the new leader, who takes the same command once
		m.answerWaiting(Reply{})
	}
	m.publish(now)
	m.View.letGo(now)
	m.renew(now)
	return nil
}

// carryOut saves, sends and applies what the node has ready, until there is nothing or the disk refuses.
func (m *Machine) carryOut(now time.Time) error {
	for {
		if m.unsaved == nil {
			ready := m.node.Take()
			if ready.Empty() {
				return nil
			}
			m.unsaved = &ready
		}
		state, err := receivedState(m.unsaved)
		if err != nil {
			return err
		}
		if m.Weak.SendBeforeSave && m.sendEarly() || !m.save(now) {
			return nil
		}
		ready := *m.unsaved
		m.unsaved = nil
		m.node.Saved()
		if err := m.finish(ready, state); err != nil {
			return err
		}
	}
}

// receivedState reads a snapshot before it takes the place of what is held.
func receivedState(r *consensus.Ready) (*clusterstate.State, error) {
	if r.Snapshot == nil {
		return nil, nil
	}
	return decodeState(r.Snapshot.Data)
}

// finish does what may follow a save.
func (m *Machine) finish(r consensus.Ready, state *clusterstate.State) error {
	for _, message := range r.Messages {
		m.Send(message)
	}
	if state != nil {
		m.View.replace(state, r.Snapshot.Index)
	}
	if err := m.apply(r.Committed); err != nil {
		return err
	}
	m.answerBarriers(r.Reads)
	if m.Weak.AcknowledgeBeforeCommit {
		m.answerWaiting(Reply{Outcome: clusterstate.Outcome{Status: clusterstate.Done}, Known: true})
	}
	return nil
}

func (m *Machine) answerBarriers(reads []consensus.Read) {
	for _, read := range reads {
		if reply := m.barriers[read.Token]; reply != nil {
			delete(m.barriers, read.Token)
			reply(Barrier{read.Index, read.OK})
		}
	}
}

func (m *Machine) answerWaiting(r Reply) {
	for _, index := range slices.Sorted(maps.Keys(m.waiting)) {
		p := m.waiting[index]
		delete(m.waiting, index)
		p.reply(r)
	}
}

// apply takes committed entries on and answers who waits for them.
func (m *Machine) apply(entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	outcomes, err := m.View.apply(entries, m.Weak.IgnoreEpoch)
	if err != nil {
		return err
	}
	if m.Committed != nil {
		m.Committed(entries)
	}
	for i, e := range entries {
		if p, there := m.waiting[e.Index]; there {
			delete(m.waiting, e.Index)
			p.reply(Reply{Outcome: outcomes[i], Known: p.term == e.Term})
		}
	}
	return nil
}

// publish shows the rest of the process where the machine stands.
func (m *Machine) publish(now time.Time) {
	_, leader := m.node.Leader()
	core := []string{}
	for _, member := range m.node.Membership().All() {
		core = append(core, member.Addr)
	}
	status := Status{ID: m.node.Self().ID, Role: m.node.Role().String(), Term: m.node.Term(), Commit: m.node.Commit(),
		Journal: m.journal.Size(), DiskFails: m.failing}
	if m.failing {
		leader = ""
	}
	m.View.publish(now, position{leader: leader, leads: m.Leads() && !m.failing, since: m.led, currentAt: m.currentAt(),
		core: core, status: status})
}

// currentAt is the moment as of which what this machine has applied is surely current; the zero time: none is known. While the disk
// refuses, what is committed is not applied.
func (m *Machine) currentAt() time.Time {
	if m.failing {
		return time.Time{}
	}
	return m.node.CurrentAt()
}

// lead does what falls to the leader: it appoints the duty's holder, the first live core machine in the order of addresses.
func (m *Machine) lead(now time.Time) {
	if !m.Leads() {
		m.led, m.duty = time.Time{}, tenure{}
		return
	}
	if m.led.IsZero() {
		m.led, m.looked = now, now
		m.Log.Info("leads", "term", m.node.Term())
	}
	if now.Sub(m.looked) < liveFor/4 {
		return
	}
	m.looked = now
	m.View.forgetAbsent(now)
	m.duty.follow(m.View.Duty(), now)
	holder, lives := m.dutyHolder()
	if !lives && holder != "" && now.Sub(m.led) > liveFor/2 && m.duty.over(now, m.DutyLease) {
		m.node.Propose(clusterstate.Command{Appoint: holder}.Encode())
		m.duty.since = now
	}
}

// dutyHolder is who should hold the duty, and whether the present holder lives.
func (m *Machine) dutyHolder() (first string, lives bool) {
	present := m.View.Duty().Holder
	for _, member := range m.node.Live(liveFor) {
		ip := bootconfig.HostOf(member.Addr)
		if first == "" || ip < first {
			first = ip
		}
		lives = lives || ip == present
	}
	return first, lives
}
