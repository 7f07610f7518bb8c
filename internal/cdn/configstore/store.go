// Package configstore implements the config store process of a core machine: its replica of the consensus log, the cluster
// state built from committed entries, and the RPC service through which registries and cache routers propose commands and
// fetch changes.
package configstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/raftlog"
	"cedarmast/internal/cdn/startup"
	"cedarmast/internal/cdn/truetime"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("configstore")

const (
	tickInterval       = 30 * time.Millisecond
	maxRequestsPerTurn = 256
	dialTimeout        = 200 * time.Millisecond // between core machines: one that is still powering up is dialled again soon and can vote
	deliverTimeout     = 600 * time.Millisecond
	maxLeaveTimeout    = 2 * time.Second // from SIGTERM until the machine is out of the membership
	leaveGraceDivisor  = 3               // leaving may take at most 1/3 of the grace period
	minLeaveTimeout    = 300 * time.Millisecond
	serversPerMB       = 16                     // of memory: a server takes a few KB of each process
	hungLoopTimeout    = 500 * time.Millisecond // past the leave timeout, after which a loop that waits for the disk is left behind
)

// Store is the config store process. Run creates and runs it.
type Store struct {
	settings bootconfig.Settings
	log      hclog.Logger
	peers    *peerrpc.Peers
	machine  *Machine // owned by the loop goroutine
	view     *View
	clock    *truetime.Clock
	callers  *cancellation.Tracker // registries and other config stores whose calls can be cancelled

	acknowledgements *acknowledgements
	memory           *admission.Memory // bounds what other processes make this one hold

	inbox     chan delivery
	proposals chan loopRequest[Reply]
	barriers  chan loopRequest[Barrier]
	quit      chan struct{}
	done      chan struct{}
	loopErr   error // the error that ended the loop; valid once done is closed

	sendQueues     map[string]*sendQueue // outgoing messages by address; owned by the loop goroutine
	lastSeeds      []string              // the seeds that were last passed to the machine
	barrierBatcher barrierBatcher
}

// delivery is a batch of messages for the loop goroutine.
type delivery struct {
	messages    []consensus.Message
	reservation *admission.Reservation // until the loop has taken them
}

// sendQueue holds the outgoing messages for one address.
type sendQueue struct {
	messages chan consensus.Message
	usedAt   time.Time
}

const (
	sendQueueLength = 64
	maxSendQueues   = 64 // far more than there are core machines
)

// loopRequest is a request to the loop goroutine, which calls reply with the result.
type loopRequest[T any] struct {
	data  []byte
	reply func(T)
}

// CheckSettings returns an error if the settings lack what a config store needs.
func CheckSettings(settings bootconfig.Settings) error {
	if settings.DataDir == "" {
		return Error.New("self.data_dir: missing: the consensus log needs a directory")
	}
	return nil
}

// Run opens the log on disk, serves RPCs and takes part in consensus until the context is done. It then leaves the membership.
func Run(ctx context.Context, settings bootconfig.Settings, log hclog.Logger) error {
	return run(ctx, settings, log, nil)
}

// run is Run with an optional wrapper around the journal, for tests.
func run(ctx context.Context, settings bootconfig.Settings, log hclog.Logger, wrap func(Journal) Journal) error {
	if err := CheckSettings(settings); err != nil {
		return err
	}
	s := &Store{settings: settings, log: log, peers: peerrpc.NewPeers(), memory: admission.NewMemory(settings.MemoryMB, admission.ConfigStoreShares), inbox: make(chan delivery, 256),
		proposals: make(chan loopRequest[Reply], 1024), barriers: make(chan loopRequest[Barrier], 256), quit: make(chan struct{}),
		done: make(chan struct{}), sendQueues: map[string]*sendQueue{}, callers: cancellation.NewTracker(),
		clock: truetime.New(time.Now(), true), acknowledgements: newAcknowledgements(log)}
	s.callers.LogViolations(log)
	s.peers.DialPatience, s.peers.Replies = dialTimeout, s.memory.Received
	address, err := startup.Listen(ctx, settings.InternalAddress(settings.IP, bootconfig.ConfigStorePort), log)
	if err != nil {
		return err
	}
	listener := &gate{Listener: address}
	go s.serve(listener)
	if err := s.open(ctx, wrap); err != nil {
		listener.Close()
		return err
	}
	listener.open()
	// Last use of the machine outside the loop goroutine until the loop has ended.
	log.Info("started", "id", s.machine.Self().ID, "address", s.machine.Address, "voters", len(s.machine.Membership().Voters))
	go s.loop()
	if settings.Platform.ReportsUsage() {
		go s.compareClocks(ctx)
	}
	metrics.Serve(ctx, settings, log, s.callers, s.acknowledgements.seconds, s.memory)
	select {
	case <-ctx.Done():
		close(s.quit)
		select {
		case <-s.done:
		case <-time.After(s.leaveTimeout() + hungLoopTimeout):
			// The address stays taken until the process has ended: no successor may open the journal while the write may still succeed.
			log.Warn("shut down while a write to the disk hangs")
			return nil
		}
	case <-s.done:
	}
	s.machine.Close()
	listener.Close()
	if s.loopErr == nil {
		log.Info("shut down cleanly")
	}
	return s.loopErr
}

// serve answers the calls of other processes until the listener is closed.
func (s *Store) serve(listener net.Listener) {
	guarded := s.memory.GuardMessages(listener, s.settings.FileHandles/2)
	err := peerrpc.Serve(guarded, "ConfigStore", s.serverOptions(), func(session *peerrpc.Session) any { return &service{s, session} })
	if err != nil {
		s.log.Error("calls are no longer answered", "err", err)
	}
}

// bulkMessageDivisor divides the memory for messages; one message with long texts may take the result.
const bulkMessageDivisor = 5

// serverOptions returns the bounds of calls.
func (s *Store) serverOptions() peerrpc.Options {
	maxBytes := s.memory.Messages.Limit() / bulkMessageDivisor
	return peerrpc.Options{Memory: s.memory, MaxBulkBytes: map[string]int64{"ConfigStore.Deliver": maxBytes, "ConfigStore.Propose": maxBytes}}
}

// open reads the log from disk and creates the machine. It retries while the disk refuses.
func (s *Store) open(ctx context.Context, wrap func(Journal) Journal) error {
	config := s.machineConfig(wrap)
	step := startup.Step{Name: "open the log in " + s.settings.DataDir, Interval: diskRetryInterval, IsFinal: isFinalOpenError, Do: func() error {
		files, err := raftlog.OpenDirectory(s.settings.DataDir)
		if err != nil {
			return errors.Join(ErrDiskUnavailable, err)
		}
		if s.machine, err = OpenMachine(config, files, time.Now()); err == nil {
			s.view = s.machine.View
		}
		return err
	}}
	return step.Run(ctx, s.log)
}

// isFinalOpenError reports whether waiting can't help: what is on the disk can't be read by this version, or the data directory is no
// directory.
func isFinalOpenError(err error) bool {
	return !errors.Is(err, ErrDiskUnavailable) || errors.Is(err, syscall.ENOTDIR)
}

// machineConfig returns the configuration of the machine according to the settings.
func (s *Store) machineConfig(wrap func(Journal) Journal) MachineConfig {
	config := MachineConfig{IP: s.settings.IP, Address: s.settings.InternalAddress(s.settings.IP, bootconfig.ConfigStorePort),
		FirstStart: s.settings.FirstStart, Contacts: s.seedAddresses(), Tolerate: s.settings.Limits.TolerateFailures,
		MaxServers: serversPerMB * s.settings.MemoryMB, Timing: consensus.DefaultTiming, Seed: randomSeed(), Log: s.log, Send: s.send, Identity: randomIdentity, Clock: time.Now, Wrap: wrap}
	if s.settings.Platform.ReportsUsage() {
		config.DutyLease = s.settings.Platform.DutyLease
	}
	for _, seed := range s.settings.Seeds {
		ip := bootconfig.Host(seed)
		config.Founders = append(config.Founders, consensus.Member{ID: ip, Addr: s.settings.InternalAddress(ip, bootconfig.ConfigStorePort)})
	}
	return config
}

// randomSeed returns a random seed for the consensus node.
func randomSeed() uint64 {
	var seed [8]byte
	rand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// randomIdentity returns a random suffix that distinguishes the identity of a new disk from those of earlier ones.
func randomIdentity() string {
	var suffix [6]byte
	rand.Read(suffix[:])
	return hex.EncodeToString(suffix[:])
}

// seedAddresses returns the addresses of the seeds' config stores, as the settings file lists them at the moment.
func (s *Store) seedAddresses() (addresses []string) {
	for _, seed := range s.settings.LatestSeeds() {
		addresses = append(addresses, s.settings.InternalAddress(bootconfig.Host(seed), bootconfig.ConfigStorePort))
	}
	return addresses
}

// loop runs the goroutine that owns the machine: it delivers messages, proposals and barriers until the machine has left.
func (s *Store) loop() {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	quit := s.quit
	var leaveDeadline <-chan time.Time
	for {
		select {
		case d := <-s.inbox:
			s.takeDelivery(d)
		case proposal := <-s.proposals:
			s.machine.Propose(proposal.data, proposal.reply)
		case barrier := <-s.barriers:
			s.machine.RequestBarrier(barrier.reply)
		case <-ticker.C:
		case <-quit:
			quit = nil
			s.machine.Leave()
			leaveDeadline = time.After(s.leaveTimeout())
		case <-leaveDeadline:
			s.log.Warn("leave timed out, stopping while still a member")
			return
		}
		s.drainRequests()
		if seeds := s.settings.LatestSeeds(); !slices.Equal(seeds, s.lastSeeds) {
			s.lastSeeds = seeds
			s.machine.SetContacts(s.seedAddresses())
		}
		if err := s.machine.Advance(time.Now()); err != nil {
			s.log.Error("stopping: the state of this replica would diverge from the others", "err", err)
			s.loopErr = err
			return
		}
		if s.machine.LeaveDone() {
			return
		}
	}
}

// takeDelivery passes messages to the machine.
func (s *Store) takeDelivery(d delivery) {
	s.machine.Deliver(time.Now(), d.messages)
	d.reservation.Release()
}

// drainRequests handles the requests that are already queued, so that one call of Machine.Advance serves many of them.
func (s *Store) drainRequests() {
	for range maxRequestsPerTurn {
		select {
		case d := <-s.inbox:
			s.takeDelivery(d)
		case proposal := <-s.proposals:
			s.machine.Propose(proposal.data, proposal.reply)
		case barrier := <-s.barriers:
			s.machine.RequestBarrier(barrier.reply)
		default:
			return
		}
	}
}

// leaveTimeout returns how long leaving the membership may take. It is a fraction of the grace period, after which the
// platform ends the process.
func (s *Store) leaveTimeout() time.Duration {
	return max(min(s.settings.Limits.Grace/leaveGraceDivisor, maxLeaveTimeout), minLeaveTimeout)
}

// send queues a message for the sender goroutine of its address. If the queue is full the message is dropped: the consensus
// node sends it again.
func (s *Store) send(m consensus.Message) {
	queue := s.sendQueues[m.ToAddr]
	if queue == nil {
		if len(s.sendQueues) >= maxSendQueues {
			s.closeOldestQueue()
		}
		queue = &sendQueue{messages: make(chan consensus.Message, sendQueueLength)}
		s.sendQueues[m.ToAddr] = queue
		go s.runSender(m.ToAddr, queue.messages)
	}
	queue.usedAt = time.Now()
	select {
	case queue.messages <- m:
	default:
	}
}

// closeOldestQueue ends the sender that was not used for longest: its machine is gone, or was never there, for any process can name itself
// in a message that is answered.
func (s *Store) closeOldestQueue() {
	oldest := ""
	for address, queue := range s.sendQueues {
		if oldest == "" || queue.usedAt.Before(s.sendQueues[oldest].usedAt) {
			oldest = address
		}
	}
	close(s.sendQueues[oldest].messages)
	delete(s.sendQueues, oldest)
}

// runSender delivers the queued messages of one address in batches until the loop ends.
func (s *Store) runSender(address string, queue <-chan consensus.Message) {
	peer := s.peers.At(address)
	for {
		select {
		case m, open := <-queue:
			if !open {
				return
			}
			messages := append([]consensus.Message{m}, drainMessages(queue)...)
			ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
			_, err := peerrpc.Call[[]consensus.Message, bool](ctx, peer, "ConfigStore.Deliver", &messages)
			cancel()
			if err != nil {
				s.log.Debug("message delivery failed", "err", err)
			}
		case <-s.done:
			return
		}
	}
}

// drainMessages returns the queued messages without blocking, at most the capacity of the channel.
func drainMessages(queue <-chan consensus.Message) (messages []consensus.Message) {
	for len(messages) < cap(queue) {
		select {
		case m, open := <-queue:
			if !open {
				return messages
			}
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}
