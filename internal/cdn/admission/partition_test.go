package admission

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const partBytes = 64 << 10

// fillUp grows reservations in turn, part by part, until each is refused, and returns how many of them were to blame.
func fillUp(reservations ...*PartitionReservation) (blamed int) {
	for growing := reservations; len(growing) > 0; {
		var next []*PartitionReservation
		for _, r := range growing {
			switch err := r.Grow(partBytes); {
			case err == nil:
				next = append(next, r)
			case errors.Is(err, ErrOverShare):
				blamed++
			}
		}
		growing = next
	}
	return blamed
}

// However many servers of however many services take all that they get, a part is left for one that holds little, and it is not blamed for
// what it does not get.
func TestGreedyMembersLeaveRoom(t *testing.T) {
	const limit = 48 << 20
	for groups := 1; groups <= 4; groups++ {
		for members := 1; members <= 3; members++ {
			t.Run(fmt.Sprint(groups, " services of ", members), func(t *testing.T) {
				budget := NewBudget(limit, nil)
				p := NewPartition(budget)
				var held []*PartitionReservation
				for range 8 { // responses to each server
					for g := range groups {
						for m := range members {
							held = append(held, p.Reserve(fmt.Sprint("service ", g), fmt.Sprint("server ", m)))
						}
					}
				}
				assert.Equal(t, fillUp(held...), len(held))
				sound := p.Reserve("sound", "server")
				assert.NilError(t, sound.Grow(1<<20))
				assert.Assert(t, budget.Used() < limit)
				assert.ErrorIs(t, sound.Grow(limit/2), ErrNoRoom)
				neighbour := p.Reserve("service 0", "sound")
				assert.ErrorIs(t, neighbour.Grow(limit/2), ErrNoRoom)
				for _, r := range append(held, sound, neighbour) {
					r.Release()
					r.Release()
				}
				assert.Equal(t, budget.Used(), int64(0))
				assert.Equal(t, len(p.groups), 0)
			})
		}
	}
}

// One server alone may use most of the budget.
func TestLoneMemberUsesMost(t *testing.T) {
	p := NewPartition(NewBudget(48<<20, nil))
	r := p.Reserve("service", "server")
	assert.Equal(t, fillUp(r), 1)
	assert.Assert(t, p.Used() >= 23<<20, "%d bytes", p.Used())
	r.Shrink(r.bytes)
	assert.NilError(t, r.Grow(23<<20))
	other := p.Reserve("service", "other")
	fillUp(other)
	assert.Assert(t, p.Used() >= 31<<20, "%d bytes", p.Used())
}
