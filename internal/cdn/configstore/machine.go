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
	freshnessWindow      = 1100 * time.Millisecond // the state counts as current until this long after position.currentAsOf
	maxJournalBytes      = 4 << 20                 // size of the journal from which a snapshot begins a new generation
	defaultMaxLogEntries = 4000                    // the same limit in log entries, if MachineConfig sets none
	renewRetryInterval   = time.Second             // wait after a new generation did not fit on the disk
	diskRetryInterval    = 100 * time.Millisecond  // wait between attempts to write to a failing disk
	livenessWindow       = 2 * time.Second         // a core machine heard from within this time may hold the duty
)

// ErrDiskUnavailable is returned if the disk refuses reads or writes while a machine is opened. Opening it may succeed later.
var ErrDiskUnavailable = errors.New("the disk refuses")

// DisabledSafeguards disables single safeguards, in addition to those of package consensus. Tests use it to show that a safeguard
// is needed and that the simulation detects its absence. Nothing else may set a field; a test enforces this.
type DisabledSafeguards struct {
	Consensus               consensus.DisabledSafeguards
	KeepIdentity            bool // a machine that lost its disk votes under its old identity
	SendBeforeSave          bool // messages are sent before the state that they promise is on disk
	AcknowledgeBeforeCommit bool // a leader acknowledges entries that are on its own disk only
	ForgetTaken             bool // snapshots omit which configurations were accepted
	IgnoreEpoch             bool // commands with the epoch of an earlier duty holder take effect
}

// MachineConfig configures a Machine.
type MachineConfig struct {
	IP         string
	Address    string             // of its config store
	Founders   []consensus.Member // the members at the first start of the whole system
	FirstStart bool               // this is the first start of the whole system
	Contacts   []string           // addresses of other machines that may know a leader
	Tolerate   int                // number of machines whose simultaneous loss must be survived
	Timing     consensus.Timing
	Seed       uint64
	Weak       DisabledSafeguards

	Log      hclog.Logger
	Send     func(consensus.Message) // must not block
	Identity func() string           // returns a random suffix that distinguishes a new disk from earlier ones
	Clock    func() time.Time        // the monotonic clock, to measure the duration of writes
	Wrap     func(Journal) Journal   // lets tests intercept disk access; may be nil

	Limits       consensus.Limits        // zero: the defaults
	DutyLease    time.Duration           // minimum time between two appointments to the duty; 0: none
	MaxServers   int                     // more are not listed; 0: as many as the state can hold
	RenewEntries int                     // log length from which a snapshot begins a new journal generation; 0: the default
	Committed    func([]consensus.Entry) // called with applied entries, for the simulation; may be nil
}

// Journal is the persistent log. It is implemented by *raftlog.Journal.
type Journal interface {
	// Begin writes the identity of the disk and the data that it starts from to a new generation. It precedes all other writes.
	Begin(held raftlog.DiskState) error
	// Save appends what is not nil and syncs. After an error nothing counts as saved, and Renew must succeed before the next Save.
	Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error
	// Note records that the entries up to an index are committed; it is written with the next Save or Renew.
	Note(committed uint64)
	// Renew writes the complete state to a new generation that replaces the present one.
	Renew(hard consensus.HardState, snap consensus.Snapshot, entries []consensus.Entry) error
	// Grown reports whether the present generation has grown by more than maxBytes, and by more than its initial size.
	Grown(maxBytes int64) bool
	// Size returns the size of the present generation in bytes.
	Size() int64
	// Close closes the file.
	Close()
}

// Machine is one core machine's consensus node together with its journal and the cluster state built from committed entries.
// It has no goroutine or clock of its own, so that the process and the simulation can both drive it. It must be used from one
// goroutine; other goroutines read its View.
type Machine struct {
	MachineConfig
	View *View

	node          *consensus.Node
	journal       Journal
	writeLatency  latencyTracker
	unsaved       *consensus.Ready           // not on disk yet
	diskFailing   bool                       // the disk has rejected unsaved
	diskRetryAt   time.Time                  // time of the next attempt to write unsaved
	renewRetryAt  time.Time                  // earliest time to retry a journal generation that did not fit on the disk
	pending       map[uint64]pendingProposal // by log index
	barriers      map[uint64]func(Barrier)   // by token
	lastToken     uint64                     // of the last barrier
	foundRetryAt  time.Time                  // earliest time to retry to found the core after a failed write
	leaderSince   time.Time                  // when this machine became leader; zero if it is not
	dutyCheckedAt time.Time                  // when the leader last checked who holds the duty
	dutyTenure    tenure                     // of the present holder, as observed by this leader
}

// tenure records since when this leader has observed the duty with its present holder, or when it last proposed another one. The
// duty is the set of tasks that one core machine performs for all, such as removing silent servers and reporting usage.
type tenure struct {
	duty  clusterstate.Duty
	since time.Time
}

// observe records the present duty and restarts the tenure if it has changed. The tenure is reset when a leader loses its
// role, so observations from an earlier term as leader do not count.
func (t *tenure) observe(duty clusterstate.Duty, now time.Time) {
	if t.since.IsZero() || t.duty != duty {
		*t = tenure{duty, now}
	}
}

// leaseExpired reports whether another holder may be appointed: the lease has passed, or there has been no holder whose actions
// could overlap with those of the next one.
func (t *tenure) leaseExpired(now time.Time, lease time.Duration) bool {
	return t.duty.Holder == "" || now.Sub(t.since) >= lease
}

// pendingProposal is a command in the log whose outcome a caller waits for.
type pendingProposal struct {
	term  uint64
	reply func(Reply)
}

// Reply is the result of a proposal.
type Reply struct {
	clusterstate.Outcome
	Known bool // the outcome is known; otherwise the command may or may not take effect
}

// Barrier is the result of a read barrier: if OK, a state that has applied Index contains everything acknowledged before it.
type Barrier struct {
	Index uint64
	OK    bool
}

// OpenMachine creates a machine from the journal on disk. An empty disk means a first start or the loss of the disk; in the
// second case the machine counts as a new one. After an error that wraps ErrDiskUnavailable the call may be repeated; other
// errors are final.
func OpenMachine(config MachineConfig, files raftlog.Directory, now time.Time) (*Machine, error) {
	opened, held, corruptedFile, err := raftlog.Open(files)
	if errors.Is(err, raftlog.ErrFormat) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Join(ErrDiskUnavailable, err)
	}
	if corruptedFile != "" {
		config.Log.Error("disk corrupted: synced data cannot be read; the file was set aside and its data counts as lost", "file", corruptedFile)
	}
	if config.RenewEntries == 0 {
		config.RenewEntries = defaultMaxLogEntries
	}
	m := &Machine{MachineConfig: config, journal: opened, pending: map[uint64]pendingProposal{}, barriers: map[uint64]func(Barrier){}}
	if config.Wrap != nil {
		m.journal = config.Wrap(opened)
	}
	if held.ID == "" {
		m.assignIdentity(&held, corruptedFile != "")
	}
	history, err := replay(held)
	if err != nil {
		return nil, err
	}
	m.journal.Note(held.Committed)
	if err := m.journal.Begin(held); err != nil {
		m.journal.Close()
		return nil, errors.Join(ErrDiskUnavailable, err)
	}
	m.View = newView(history, held.Snapshot.Index)
	m.startNode(held, now)
	return m, nil
}

// startNode creates the consensus node from the state on disk.
func (m *Machine) startNode(held raftlog.DiskState, now time.Time) {
	m.node = consensus.New(consensus.Config{Self: consensus.Member{ID: held.ID, Addr: m.Address}, Timing: m.Timing, Tolerate: m.Tolerate,
		Seed: m.Seed, Contacts: m.Contacts, Founders: m.Founders, Weak: m.Weak.Consensus, Limits: m.Limits,
		Hard: held.Hard, Snapshot: held.Snapshot, Entries: held.Entries}, now)
	m.node.SeenHere = func() []string { return m.View.recentlySeen(m.node.Role() == consensus.Leader) }
	m.node.Attended = m.View.noteSeenElsewhere
}

// assignIdentity assigns an identity to an empty disk. At the first start of the whole system a founder gets its IP, by which the
// other founders know it. Any other machine, or one that has lost its disk, gets its IP with a random suffix.
func (m *Machine) assignIdentity(held *raftlog.DiskState, diskLost bool) {
	founder := false
	for _, f := range m.Founders {
		founder = founder || f.ID == m.IP
	}
	if founder && (m.FirstStart && !diskLost || m.Weak.KeepIdentity) {
		held.ID, held.Snapshot.Membership.Voters = m.IP, m.Founders
		return
	}
	held.ID = m.IP + "~" + m.Identity()
}

// replay builds the state from the entries that the disk records as committed, before any request arrives. Without it, after a
// loss of power, the machines would apply these entries only once there is a leader, the leader first and then the others, with
// all requests waiting (an eighth of a second each on a quarter of a core). The node delivers the same entries again later,
// and the history skips those that it has applied.
func replay(held raftlog.DiskState) (*clusterstate.History, error) {
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

// applyEntry applies a committed entry. An entry that cannot be decoded stops this replica: skipping it would let its state
// diverge from the others unnoticed.
func applyEntry(history *clusterstate.History, e consensus.Entry) (clusterstate.Outcome, error) {
	if len(e.Data) == 0 {
		return clusterstate.Outcome{Status: clusterstate.StatusOK}, nil
	}
	_, out, err := history.Apply(e.Index, e.Data)
	if err != nil {
		return out, Error.New("cannot decode log entry %d, stopping this replica: %w", e.Index, err)
	}
	return out, nil
}

// encodeState returns the state as it is stored in a snapshot.
func encodeState(s *clusterstate.State) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		panic(err) // encoding a plain struct to memory does not fail
	}
	return b.Bytes()
}

// decodeState returns the state that is stored in a snapshot.
func decodeState(data []byte) (*clusterstate.State, error) {
	s := clusterstate.New()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, Error.New("decode snapshot: %w", err)
	}
	return s, nil
}

// Close closes the journal.
func (m *Machine) Close() { m.journal.Close() }

// Self returns this machine as a member.
func (m *Machine) Self() consensus.Member { return m.node.Self() }

// Membership returns the membership in force according to this machine's log.
func (m *Machine) Membership() consensus.Membership { return m.node.Membership() }

// Term returns the machine's consensus term.
func (m *Machine) Term() uint64 { return m.node.Term() }

// IsLeader reports whether the machine is the leader.
func (m *Machine) IsLeader() bool { return m.node.Role() == consensus.Leader }

// PendingCount returns the number of proposals and barriers without a reply.
func (m *Machine) PendingCount() int { return len(m.pending) + len(m.barriers) }

// SetContacts replaces the addresses of other machines that may know a leader.
func (m *Machine) SetContacts(addrs []string) {
	m.Contacts = addrs
	m.node.SetContacts(addrs)
}

// Leave makes the machine leave the membership, for good or for a while. The process may end once LeaveDone returns true.
func (m *Machine) Leave() {
	m.node.Leave()
}

// LeaveDone reports whether a machine that called Leave may stop: nothing depends on it alone any more.
func (m *Machine) LeaveDone() bool { return m.node.LeaveDone() }

// Deliver handles consensus messages. While the disk is failing they are dropped, as if the network had lost them.
func (m *Machine) Deliver(now time.Time, messages []consensus.Message) {
	if m.diskFailing {
		return
	}
	for _, message := range messages {
		m.node.Step(now, message)
	}
}

// Propose appends a command to the log. A command that cannot be decoded or applied alike by all processes is rejected, whoever sends it:
// the registry that checked it may be of an earlier version. reply is called once the outcome is known, or immediately if it will not be
// known on this machine.
func (m *Machine) Propose(data []byte, reply func(Reply)) {
	if refusal := m.refuseProposal(data); refusal != nil {
		reply(*refusal)
		return
	}
	if m.diskFailing {
		reply(Reply{})
		return
	}
	index, term, ok := m.node.Propose(data)
	if !ok {
		reply(Reply{})
		return
	}
	if previous, exists := m.pending[index]; exists { // from an earlier term as leader; its entry was replaced
		previous.reply(Reply{})
	}
	m.pending[index] = pendingProposal{term, reply}
}

// refuseProposal returns the reply to a proposal that must not be appended; nil if it may be. Only the leader's state can tell. While the
// leader has not applied its whole log, an earlier leader may have appended the same command: the outcome is unknown then.
func (m *Machine) refuseProposal(data []byte) *Reply {
	invalid := func(err error) *Reply {
		return &Reply{Outcome: clusterstate.Outcome{Status: clusterstate.StatusInvalid, Text: err.Error()}, Known: true}
	}
	command, err := clusterstate.Decode(data)
	if err != nil {
		return invalid(err)
	}
	if !m.IsLeader() {
		return nil
	}
	switch err := m.View.checkProposal(command, m.MaxServers); {
	case err == nil:
		return nil
	case m.node.LastIndex() != m.View.AppliedIndex():
		return &Reply{}
	default:
		return invalid(err)
	}
}

// RequestBarrier starts a read barrier and calls reply with its result.
func (m *Machine) RequestBarrier(reply func(Barrier)) {
	if m.diskFailing {
		reply(Barrier{})
		return
	}
	m.lastToken++
	m.barriers[m.lastToken] = reply
	m.node.Barrier(m.lastToken)
}

// Advance advances the machine to the time now: it runs timers, saves, sends and applies what is ready, and replies to waiting
// callers. After an error this replica must stop.
func (m *Machine) Advance(now time.Time) error {
	if !m.diskFailing {
		m.node.Tick(now)
		m.runLeaderTasks(now)
		m.node.Flush()
		m.foundCore(now)
	}
	if err := m.processReady(now); err != nil {
		return err
	}
	if !m.IsLeader() { // callers retry with the new leader; the state applies the same command once
		m.answerProposals(Reply{})
	}
	m.publish(now)
	m.View.pruneSeenHere(now)
	m.renewJournal(now)
	return nil
}

// processReady saves, sends and applies what the consensus node has ready, until nothing is left or the disk rejects a write.
func (m *Machine) processReady(now time.Time) error {
	for {
		if m.unsaved == nil {
			ready := m.node.TakeReady()
			if ready.Empty() {
				return nil
			}
			m.unsaved = &ready
		}
		state, err := receivedState(m.unsaved)
		if err != nil {
			return err
		}
		if m.Weak.SendBeforeSave && m.sendBeforeSave() || !m.save(now) {
			return nil
		}
		ready := *m.unsaved
		m.unsaved = nil
		m.node.MarkSaved()
		if err := m.completeReady(ready, state); err != nil {
			return err
		}
	}
}

// receivedState decodes the snapshot in r, if there is one, before it replaces the present state.
func receivedState(r *consensus.Ready) (*clusterstate.State, error) {
	if r.Snapshot == nil {
		return nil, nil
	}
	return decodeState(r.Snapshot.Data)
}

// completeReady carries out the parts of ready that had to wait until it was saved: it sends the messages, installs state (the
// decoded snapshot, if there is one), applies the committed entries and replies to barriers.
func (m *Machine) completeReady(ready consensus.Ready, state *clusterstate.State) error {
	for _, message := range ready.Messages {
		m.Send(message)
	}
	if state != nil {
		m.View.replaceState(state, ready.Snapshot.Index)
	}
	if err := m.apply(ready.Committed); err != nil {
		return err
	}
	m.answerBarriers(ready.Reads)
	if m.Weak.AcknowledgeBeforeCommit {
		m.answerProposals(Reply{Outcome: clusterstate.Outcome{Status: clusterstate.StatusOK}, Known: true})
	}
	return nil
}

// answerBarriers replies to the callers of completed barriers.
func (m *Machine) answerBarriers(reads []consensus.ReadResult) {
	for _, read := range reads {
		if reply := m.barriers[read.Token]; reply != nil {
			delete(m.barriers, read.Token)
			reply(Barrier{read.Index, read.OK})
		}
	}
}

// answerProposals gives the same reply to all waiting proposals, in the order of their log indexes.
func (m *Machine) answerProposals(r Reply) {
	for _, index := range slices.Sorted(maps.Keys(m.pending)) {
		p := m.pending[index]
		delete(m.pending, index)
		p.reply(r)
	}
}

// apply applies committed entries and replies to the proposals among them.
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
		if p, waiting := m.pending[e.Index]; waiting {
			delete(m.pending, e.Index)
			p.reply(Reply{Outcome: outcomes[i], Known: p.term == e.Term})
		}
	}
	return nil
}

// publish updates the View with the machine's role, leader, membership and status.
func (m *Machine) publish(now time.Time) {
	_, leader := m.node.Leader()
	addresses := []string{}
	for _, member := range m.node.Membership().All() {
		addresses = append(addresses, member.Addr)
	}
	status := Status{ID: m.node.Self().ID, Role: m.node.Role().String(), Term: m.node.Term(), Commit: m.node.CommitIndex(),
		Journal: m.journal.Size(), DiskFails: m.diskFailing}
	if m.diskFailing {
		leader = ""
	}
	m.View.publish(now, position{leader: leader, isLeader: m.IsLeader() && !m.diskFailing, leaderSince: m.leaderSince,
		currentAsOf: m.currentAsOf(), coreAddresses: addresses, status: status})
}

// currentAsOf returns the time as of which the applied state is known to be current; zero if none is known. It is zero while
// the disk is failing, for committed entries are not applied then.
func (m *Machine) currentAsOf() time.Time {
	if m.diskFailing {
		return time.Time{}
	}
	return m.node.CurrentAsOf()
}

// runLeaderTasks does the periodic work of the leader: if the present duty holder is not live and its lease has passed, it
// appoints the first live core machine in the order of addresses. A new leader waits for livenessWindow/2 first, to hear from
// the others.
func (m *Machine) runLeaderTasks(now time.Time) {
	if !m.IsLeader() {
		m.leaderSince, m.dutyTenure = time.Time{}, tenure{}
		return
	}
	if m.leaderSince.IsZero() {
		m.leaderSince, m.dutyCheckedAt = now, now
		m.Log.Info("leads", "term", m.node.Term())
	}
	if now.Sub(m.dutyCheckedAt) < livenessWindow/4 {
		return
	}
	m.dutyCheckedAt = now
	m.View.pruneSeenElsewhere(now)
	m.dutyTenure.observe(m.View.Duty(), now)
	holder, live := m.dutyHolder()
	if !live && holder != "" && now.Sub(m.leaderSince) > livenessWindow/2 && m.dutyTenure.leaseExpired(now, m.DutyLease) {
		m.node.Propose(clusterstate.Command{Appoint: holder}.Encode())
		m.dutyTenure.since = now
	}
}

// dutyHolder returns the machine that should hold the duty, empty if none is live, and whether the present holder is live.
func (m *Machine) dutyHolder() (candidate string, live bool) {
	present := m.View.Duty().Holder
	for _, member := range m.node.LiveMembers(livenessWindow) {
		ip := bootconfig.Host(member.Addr)
		if candidate == "" || ip < candidate {
			candidate = ip
		}
		live = live || ip == present
	}
	return candidate, live
}
