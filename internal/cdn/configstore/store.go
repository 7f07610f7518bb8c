// Package configstore is the store of configuration's process: a core machine's part in the log, the common state that it
// makes, and the answers to those who ask what is new.
package configstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"slices"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/raftlog"
	"cedarmast/internal/cdn/truetime"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("configstore")

const (
	tick          = 30 * time.Millisecond
	batch         = 256
	dialPatience  = 200 * time.Millisecond // among core machines: one that has no power yet is asked again soon, and may vote
	deliverWithin = 600 * time.Millisecond
	leaveWithin   = 2 * time.Second // after SIGTERM, until the machine is out of the membership
	leavePart     = 3               // of grace that this may take
	leaveAtLeast  = 300 * time.Millisecond
)

// Store is the process. Run starts it.
type Store struct {
	set     bootconfig.Settings
	log     hclog.Logger
	peers   *peerrpc.Peers
	machine *Machine // the loop's
	view    *View
	clock   *truetime.Clock
	callers *departure.Ledger // registries and other config stores whose calls can be given up

	acknowledgements *acknowledgements

	in        chan []consensus.Message
	proposals chan asked[Reply]
	barriers  chan asked[Barrier]
	quit      chan struct{}
	done      chan struct{}
	failed    error // why the loop ended; read once done is closed

	senders map[string]chan consensus.Message // the loop's
	seeds   []string                          // as the machine was last told
	gather  gather
}

// asked is a question to the loop.
type asked[T any] struct {
	data  []byte
	reply func(T)
}

// Run opens the disk, serves the other processes and takes part in the log until the context ends.
func Run(ctx context.Context, set bootconfig.Settings, log hclog.Logger) error {
	return run(ctx, set, log, nil)
}

func run(ctx context.Context, set bootconfig.Settings, log hclog.Logger, wrap func(Journal) Journal) error {
	if set.DataDir == "" {
		return Error.New("self.data_dir: missing: the log needs a disk")
	}
	s := &Store{set: set, log: log, peers: peerrpc.NewPeers(), in: make(chan []consensus.Message, 256),
		proposals: make(chan asked[Reply], 1024), barriers: make(chan asked[Barrier], 256), quit: make(chan struct{}),
		done: make(chan struct{}), senders: map[string]chan consensus.Message{}, callers: departure.NewLedger(),
		clock: truetime.New(time.Now(), true), acknowledgements: newAcknowledgements(log)}
	s.callers.LogBreaches(log)
	s.peers.DialPatience = dialPatience
	if err := s.open(ctx, wrap); err != nil || s.machine == nil {
		return err
	}
	listener, err := net.Listen("tcp", set.Inner(set.IP, bootconfig.ConfigStorePort))
	if err != nil {
		s.machine.Close()
		return Error.Wrap(err)
	}
	log.Info("started", "id", s.machine.Self().ID, "address", s.machine.Address, "voters", len(s.machine.Membership().Voters)) // the machine is the loop's from here on
	go peerrpc.Serve(listener, "ConfigStore", func(session *peerrpc.Session) any { return &service{s, session} })
	go s.loop()
	if set.Platform.ReportsUsage() {
		go s.compareClocks(ctx)
	}
	metrics.Serve(ctx, set, log, s.callers, s.acknowledgements.seconds)
	select {
	case <-ctx.Done():
		close(s.quit)
		<-s.done
	case <-s.done:
	}
	listener.Close()
	s.machine.Close()
	if s.failed == nil {
		log.Info("ended in order")
	}
	return s.failed
}

// open reads the disk, and waits for one that is full or slow. The machine stays nil if the context ends before.
func (s *Store) open(ctx context.Context, wrap func(Journal) Journal) error {
	files, err := raftlog.OpenFolder(s.set.DataDir)
	if err != nil {
		return err
	}
	config := s.machineConfig(wrap)
	for {
		s.machine, err = OpenMachine(config, files, time.Now())
		if err == nil {
			s.view = s.machine.View
			return nil
		}
		if !errors.Is(err, ErrNotBegun) {
			return err
		}
		s.log.Error("disk not ready", "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryDisk):
		}
	}
}

func (s *Store) machineConfig(wrap func(Journal) Journal) MachineConfig {
	c := MachineConfig{IP: s.set.IP, Address: s.set.Inner(s.set.IP, bootconfig.ConfigStorePort), FirstStart: s.set.FirstStart,
		Contacts: s.contacts(), Tolerate: s.set.Bounds.Tolerate, Timing: consensus.Usual, Seed: drawSeed(), Log: s.log, Send: s.send,
		Identity: drawIdentity, Clock: time.Now, Wrap: wrap}
	if s.set.Platform.ReportsUsage() {
		c.DutyLease = s.set.Platform.Lease
	}
	for _, seed := range s.set.Seeds {
		ip := bootconfig.HostOf(seed)
		c.Founders = append(c.Founders, consensus.Member{ID: ip, Addr: s.set.Inner(ip, bootconfig.ConfigStorePort)})
	}
	return c
}

func drawSeed() uint64 {
	var lot [8]byte
	rand.Read(lot[:])
	return binary.LittleEndian.Uint64(lot[:])
}

func drawIdentity() string {
	var lot [6]byte
	rand.Read(lot[:])
	return hex.EncodeToString(lot[:])
}

// contacts are the seeds' config stores, as the settings file names them by now.
func (s *Store) contacts() (all []string) {
	for _, seed := range s.set.SeedsNow() {
		all = append(all, s.set.Inner(bootconfig.HostOf(seed), bootconfig.ConfigStorePort))
	}
	return all
}

// loop is the one goroutine that owns the machine.
func (s *Store) loop() {
	defer close(s.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	quit := s.quit
	var leave <-chan time.Time
	for {
		select {
		case m := <-s.in:
			s.machine.Deliver(time.Now(), m)
		case p := <-s.proposals:
			s.machine.Propose(p.data, p.reply)
		case b := <-s.barriers:
			s.machine.AskBarrier(b.reply)
		case <-ticker.C:
		case <-quit:
			quit = nil
			s.machine.Leave()
			leave = time.After(s.leaveTime())
		case <-leave:
			s.log.Warn("ends without having left the membership")
			return
		}
		s.takeMore()
		if named := s.set.SeedsNow(); !slices.Equal(named, s.seeds) {
			s.seeds = named
			s.machine.SetContacts(s.contacts())
		}
		if err := s.machine.Turn(time.Now()); err != nil {
			s.log.Error("ENDS: this copy of the state would differ from the others", "err", err)
			s.failed = err
			return
		}
		if s.machine.Left() {
			return
		}
	}
}

// takeMore takes what else has come, so that one turn is for many.
func (s *Store) takeMore() {
	for range batch {
		select {
		case m := <-s.in:
			s.machine.Deliver(time.Now(), m)
		case p := <-s.proposals:
			s.machine.Propose(p.data, p.reply)
		case b := <-s.barriers:
			s.machine.AskBarrier(b.reply)
		default:
			return
		}
	}
}

// leaveTime is how long the leaving may take: a part of grace, for the platform ends the process then.
func (s *Store) leaveTime() time.Duration {
	return max(min(s.set.Bounds.Grace/leavePart, leaveWithin), leaveAtLeast)
}

// send hands a message to its address's sender; what can't go out in time is dropped, for the node says it again.
func (s *Store) send(m consensus.Message) {
	to := s.senders[m.ToAddr]
	if to == nil {
		to = make(chan consensus.Message, 64)
		s.senders[m.ToAddr] = to
		go s.sender(m.ToAddr, to)
	}
	select {
	case to <- m:
	default:
	}
}

func (s *Store) sender(address string, in <-chan consensus.Message) {
	peer := s.peers.At(address)
	for {
		select {
		case m := <-in:
			all := append([]consensus.Message{m}, waitingIn(in)...)
			ctx, cancel := context.WithTimeout(context.Background(), deliverWithin)
			_, err := peerrpc.Call[[]consensus.Message, bool](ctx, peer, "ConfigStore.Deliver", &all)
			cancel()
			if err != nil {
				s.log.Debug("not delivered", "err", err)
			}
		case <-s.done:
			return
		}
	}
}

func waitingIn(in <-chan consensus.Message) (all []consensus.Message) {
	for len(all) < cap(in) {
		select {
		case m := <-in:
			all = append(all, m)
		default:
			return all
		}
	}
	return all
}
