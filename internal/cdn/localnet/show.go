package localnet

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Demo starts a network and demonstrates a request served, served from the cache, and purged. If stayUp is set it keeps the network
// up until the context ends.
func Demo(ctx context.Context, shape Shape, out io.Writer, stayUp bool) error {
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	shape.Program = func(name string) []string { return []string{filepath.Join(filepath.Dir(executable), name), "run"} }
	if shape.Dir == "" {
		if shape.Dir, err = os.MkdirTemp("", "localnet"); err != nil {
			return Error.Wrap(err)
		}
		defer os.RemoveAll(shape.Dir)
	}
	n, err := Start(shape)
	if err != nil {
		return err
	}
	defer n.Stop()
	for _, m := range n.Machines {
		fmt.Fprintf(out, "%-8s %-12s %s\n", m.Name, m.IP, m.Zone)
	}
	var servers []*Server
	for i := range 2 {
		s, err := n.Serve(fmt.Sprint("server-", i+1), "shop", byte(200+i))
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if status, text, err := n.Control(ctx, "PUT", "/manifest", Manifest(1, 0, "shop")); err != nil || status != 200 {
		return Error.New("configuration: %d %s %v", status, text, err)
	}
	fmt.Fprintln(out, "configuration r1 is acknowledged: a majority of the core's disks has it")
	edge := n.EdgeMachines()[0]
	for !n.Ready(edge) {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	showRequest := func(what, id string) error {
		started := time.Now()
		status, _, body, err := n.Request(edge, "GET", "shop.example", "/shelved/1", id)
		for err == nil && status != 200 && time.Since(started) < 5*time.Second {
			time.Sleep(20 * time.Millisecond)
			status, _, body, err = n.Request(edge, "GET", "shop.example", "/shelved/1", id)
		}
		if err != nil {
			return Error.Wrap(err)
		}
		runs := 0
		for _, s := range servers {
			all, _ := s.RunCounts()
			runs += all
		}
		fmt.Fprintf(out, "%-28s %d in %s, %d runs at servers: %s", what, status, time.Since(started).Round(100*time.Microsecond), runs, body)
		return nil
	}
	if err := showRequest("served", "a"); err != nil {
		return err
	}
	if err := showRequest("served from the cache", "b"); err != nil {
		return err
	}
	for _, s := range servers {
		s.UpdateObjects()
	}
	if err := showRequest("changed, not purged", "c"); err != nil {
		return err
	}
	if status, text, err := n.Control(ctx, "POST", "/purge", []byte(`{"domain":"shop.example","path":"/shelved/1"}`)); err != nil || status != 200 {
		return Error.New("purge: %d %s %v", status, text, err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := showRequest("purged", "d"); err != nil {
		return err
	}
	if !stayUp {
		return nil
	}
	fmt.Fprintf(out, "the network stays up until interrupted; try\n  curl -H 'Host: shop.example' http://%s:%d/shelved/1\n  curl http://%s:%d/status\n",
		edge.IP, clientPort, n.Machines[0].IP, controlPort)
	<-ctx.Done()
	return nil
}
