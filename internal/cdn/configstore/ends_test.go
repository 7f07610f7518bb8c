package configstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/localnet"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A write that hangs does not hold the end of a config store up, and keeps its address taken until the process is gone: a successor that
// opened the journal could lack what the write saves, while this process promises it to others once the write succeeds.
func TestShutdownWhileWriteHangs(t *testing.T) {
	subnet, claim, err := localnet.ClaimSubnet(0)
	assert.NilError(t, err)
	defer claim.Close()
	ip := fmt.Sprintf("127.0.%d.1", subnet)
	set := bootconfig.Settings{Node: "core-1", MemoryMB: 256, FileHandles: 1024, IP: ip, DataDir: t.TempDir(), FirstStart: true, Seeds: []string{ip + ":8146"}, FirstSparePort: 7660,
		HeartbeatInterval: time.Second}
	disk := new(hangingJournal)
	disk.mu.Lock()
	defer disk.mu.Unlock()
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- run(ctx, set, hclog.NewNullLogger(), func(j Journal) Journal { disk.Journal = j; return disk })
	}()
	address := set.InternalAddress(ip, bootconfig.ConfigStorePort)
	waitFor(t, "the address to be taken", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	waitFor(t, "the first write to hang", func() bool { return disk.waiting.Load() })
	end()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(15 * time.Second):
		t.Fatal("the hanging write holds the end up")
	}
	_, err = net.Listen("tcp", address)
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "the address is free: %v", err)
}
