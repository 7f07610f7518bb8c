package localnet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Networks that run concurrently never share addresses. Two runs of one test, from two folders, did, and the operators of one run read
// configurations that those of the other had put.
func TestNetworksHaveTheirOwnAddresses(t *testing.T) {
	program := func(string) []string { return []string{"sleep", "60"} }
	start := func(at byte) (*Network, error) {
		return Start(Shape{Core: 1, Subnet: at, Dir: t.TempDir(), Program: program})
	}
	one, err := start(0)
	assert.NilError(t, err)
	other, err := start(0)
	assert.NilError(t, err)
	assert.Assert(t, one.Subnet != other.Subnet)
	assert.Assert(t, one.Machines[0].IP != other.Machines[0].IP)
	_, err = start(one.Subnet)
	assert.ErrorContains(t, err, "no addresses are free")
	one.Stop()
	again, err := start(one.Subnet)
	assert.NilError(t, err)
	again.Stop()
	other.Stop()
}
