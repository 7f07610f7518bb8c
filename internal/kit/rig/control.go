package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/shared"
)

// Control lets a test inject faults and operator calls into a running rehearsal that the scenario does not describe. Its methods
// may be called from any goroutine and have taken effect when they return, unless the run has ended.
type Control struct{ rig *Rig }

// run runs f on the model's goroutine and waits for it.
func (c *Control) run(f func()) { ask(c.rig, func() struct{} { f(); return struct{}{} }) }

// Await waits until the given time of the run. It returns false if the run ends first.
func (c *Control) Await(at time.Duration) bool {
	timer := time.NewTimer(at - c.rig.now())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.rig.ctx.Done():
		return false
	}
}

// Kill ends a router with SIGKILL. Stop shuts it down gracefully and Start starts it again; these two return before the router has
// exited or is ready.
func (c *Control) Kill(router int) { c.run(func() { c.rig.KillRouter(router) }) }
func (c *Control) Stop(router int) { c.run(func() { c.rig.StopRouter(router) }) }
func (c *Control) Start(router int, f model.StoredState) {
	c.run(func() { c.rig.StartRouter(router, f) })
}

// SetStalled suspends a router's process, or resumes it.
func (c *Control) SetStalled(router int, on bool) { c.run(func() { c.rig.world.Stall(router, on) }) }

// SetDiskFull makes a router's writes to files fail, or lets them succeed again.
func (c *Control) SetDiskFull(router int, full bool) {
	c.run(func() { c.rig.SetDiskFull(router, full) })
}

// InjectLinkFault injects a fault into the links between two sets of routers, as a trouble of kind router-link does, until heal is called.
func (c *Control) InjectLinkFault(routers, others []int, t scenario.Trouble) (heal func()) {
	var end func()
	c.run(func() { end = c.rig.world.AddLinkFault(routers, others, t) })
	return func() {
		if end != nil {
			c.run(end)
		}
	}
}

// SetDiscoverySilent stops discovery from answering any router, or ends that.
func (c *Control) SetDiscoverySilent(on bool) { c.run(func() { c.rig.SetDiscoverySilence(on) }) }

// Stats returns a router's counters, by group and name.
func (c *Control) Stats(router int) (all map[string]map[string]int64, err error) {
	err = getJSON(c.rig.routers[router].listen, "/stats", &all)
	return all, err
}

// Facts returns a router's replica of the state that routers share, read at its operators' address.
func (c *Control) Facts(router int) (r shared.Report, err error) {
	err = getJSON(c.rig.routers[router].operatorAddr, "/facts", &r)
	return r, err
}

// maxPageBytes bounds the pages that are read from routers.
const maxPageBytes = 32 << 20

// getJSON fetches path from addr and decodes the JSON body into to.
func getJSON(addr, path string, to any) error {
	client := boundedhttp.NewClient(time.Second, false)
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", addr, path, resp.Status)
	}
	text, err := boundedhttp.ReadBody(resp.Body, resp.ContentLength, maxPageBytes, boundedhttp.Uncharged{})
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

// RecordOperatorOrder tells the ledger that an operator order given elsewhere applies to a router from now on: a send that contradicts it counts as
// stale.
func (c *Control) RecordOperatorOrder(router int, node string, out bool) {
	c.run(func() { c.rig.world.Ledger().OperatorOrder(router, node, out, c.rig.world.Now()) })
}

// SendOperatorOrder puts a node into maintenance at a router, or back into service, through its operators' address. It returns the HTTP status.
func (c *Control) SendOperatorOrder(router int, node string, out bool) (status int, err error) {
	call := map[bool]string{true: "maint", false: "ready"}[out]
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/cache-servers/%s/%s", c.rig.routers[router].operatorAddr, node, call), nil)
	if err != nil {
		return 0, err
	}
	client := boundedhttp.NewClient(2*time.Second, false)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.run(func() { c.rig.world.Ledger().OperatorOrder(router, node, out, c.rig.world.Now()) })
	}
	return resp.StatusCode, nil
}
