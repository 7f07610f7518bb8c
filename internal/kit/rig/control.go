package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/shared"
)

// Control is a hand in a day on sockets: tests drive with it what no scenario says. Its calls may come from any goroutine and
// have taken effect when they return, unless the day is over.
type Control struct{ rig *Rig }

// do has the model's goroutine do something and waits for it.
func (c *Control) do(f func()) { ask(c.rig, func() struct{} { f(); return struct{}{} }) }

// Await waits until a moment of the day; false if the day has ended before.
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

// Kill ends a router outright. Stop ends it in order, and Start starts it again; those two return before it has gone or is ready.
func (c *Control) Kill(router int) { c.do(func() { c.rig.KillRouter(router) }) }
func (c *Control) Stop(router int) { c.do(func() { c.rig.StopRouter(router) }) }
func (c *Control) Start(router int, f model.StoredState) {
	c.do(func() { c.rig.StartRouter(router, f) })
}

// Stall has a router's process stand still, or go on.
func (c *Control) Stall(router int, on bool) { c.do(func() { c.rig.world.Stall(router, on) }) }

// FillDisk has nothing that a router stores be written, or has it written again.
func (c *Control) FillDisk(router int, full bool) { c.do(func() { c.rig.SetDiskFull(router, full) }) }

// Strike strikes the links between some routers and others, as a trouble of kind router-link does, until heal is called.
func (c *Control) Strike(routers, others []int, t scenario.Trouble) (heal func()) {
	var end func()
	c.do(func() { end = c.rig.world.AddLinkFault(routers, others, t) })
	return func() {
		if end != nil {
			c.do(end)
		}
	}
}

// Silence keeps discovery from answering any router, or ends that.
func (c *Control) Silence(on bool) { c.do(func() { c.rig.SetDiscoverySilence(on) }) }

// Stats are a router's counters, by group and name.
func (c *Control) Stats(router int) (all map[string]map[string]int64, err error) {
	err = read(c.rig.routers[router].listen, "/stats", &all)
	return all, err
}

// Facts are what a router holds of the state that routers share, by its operators' address.
func (c *Control) Facts(router int) (r shared.Report, err error) {
	err = read(c.rig.routers[router].operators, "/facts", &r)
	return r, err
}

// read asks an address for a page of JSON.
func read(addr, path string, to any) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", addr, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(to)
}

// Holds has the ledger hold an order, given elsewhere, against a router from now on: a send against it is stale.
func (c *Control) Holds(router int, node string, out bool) {
	c.do(func() { c.rig.world.Ledger().OperatorOrder(router, node, out, c.rig.world.Now()) })
}

// Order takes a node out for maintenance at a router, or back, by its operators' address, and tells what was answered.
func (c *Control) Order(router int, node string, out bool) (status int, err error) {
	call := map[bool]string{true: "maint", false: "ready"}[out]
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/cache-servers/%s/%s", c.rig.routers[router].operators, node, call), nil)
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.do(func() { c.rig.world.Ledger().OperatorOrder(router, node, out, c.rig.world.Now()) })
	}
	return resp.StatusCode, nil
}
