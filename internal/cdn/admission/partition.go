package admission

import "sync"

// The shares of a partition, as multiples of what is left of its budget (dynamic thresholds, as for the queues of a switch that share its
// buffer): however much one owner asks for, a part of the budget stays for the others, and an owner that is alone may use most of it.
const (
	groupShare  = 2 // one group alone may hold two thirds of the budget
	memberShare = 1 // one member alone may hold half of it
)

// Partition divides a budget among groups of members, such as services and their servers. It keeps state for those alone that hold
// something. It is safe for concurrent use.
type Partition struct {
	budget *Budget

	mu     sync.Mutex
	groups map[string]*group
}

// group is what the reservations of one group hold together.
type group struct {
	bytes   int64
	members map[string]*member
}

// member is what the reservations of one member hold together.
type member struct {
	bytes        int64
	reservations int
}

// NewPartition returns a partition of a budget.
func NewPartition(budget *Budget) *Partition {
	return &Partition{budget: budget, groups: map[string]*group{}}
}

// Limit returns the number of bytes of the budget.
func (p *Partition) Limit() int64 { return p.budget.limit }

// Used returns the number of bytes that are held now.
func (p *Partition) Used() int64 { return p.budget.Used() }

// Reserve returns a reservation without bytes for a member of a group. It must be released.
func (p *Partition) Reserve(groupName, memberName string) *PartitionReservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		g = &group{members: map[string]*member{}}
		p.groups[groupName] = g
	}
	m := g.members[memberName]
	if m == nil {
		m = &member{}
		g.members[memberName] = m
	}
	m.reservations++
	return &PartitionReservation{partition: p, groupName: groupName, memberName: memberName}
}

// PartitionReservation is what one response holds of a partition. It is not safe for concurrent use.
type PartitionReservation struct {
	partition             *Partition
	groupName, memberName string
	bytes                 int64
	released              bool
}

// Limit returns the number of bytes of the budget: more never fits.
func (r *PartitionReservation) Limit() int64 { return r.partition.budget.limit }

// Grow charges further bytes, or charges nothing and returns an error: ErrOverShare if the member is among those that hold the most, and
// ErrNoRoom if others do.
func (r *PartitionReservation) Grow(bytes int64) error {
	p := r.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[r.groupName]
	m := g.members[r.memberName]
	left := p.budget.limit - p.budget.Used() - bytes
	overShare := m.bytes+bytes > memberShare*left || g.bytes+bytes > groupShare*left
	switch {
	case overShare && p.holdsMuch(m.bytes):
		p.budget.refused.Add(1)
		return ErrOverShare
	case overShare:
		p.budget.refused.Add(1)
		return ErrNoRoom
	case !p.budget.acquire(bytes):
		return ErrNoRoom
	}
	r.bytes += bytes
	m.bytes += bytes
	g.bytes += bytes
	return nil
}

// holdsMuch reports whether a member that holds so many bytes holds at least half as much as any other. The caller holds the lock.
func (p *Partition) holdsMuch(bytes int64) bool {
	for _, g := range p.groups {
		for _, m := range g.members {
			if m.bytes > 2*bytes {
				return false
			}
		}
	}
	return true
}

// Shrink returns bytes to the budget, at most those that are held.
func (r *PartitionReservation) Shrink(bytes int64) {
	p := r.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shrink(r, bytes)
}

// shrink returns bytes of a reservation. The caller holds the lock.
func (p *Partition) shrink(r *PartitionReservation, bytes int64) {
	bytes = min(bytes, r.bytes)
	if bytes == 0 {
		return
	}
	r.bytes -= bytes
	p.groups[r.groupName].bytes -= bytes
	p.groups[r.groupName].members[r.memberName].bytes -= bytes
	p.budget.release(bytes)
}

// Release returns all bytes and ends the reservation. Later calls do nothing.
func (r *PartitionReservation) Release() {
	p := r.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.released {
		return
	}
	p.shrink(r, r.bytes)
	r.released = true
	g := p.groups[r.groupName]
	m := g.members[r.memberName]
	if m.reservations--; m.reservations == 0 {
		delete(g.members, r.memberName)
	}
	if len(g.members) == 0 {
		delete(p.groups, r.groupName)
	}
}
