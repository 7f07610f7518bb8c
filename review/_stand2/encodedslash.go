package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slashRequests = 400
	slashGap      = 10 * time.Millisecond
	lostFor       = 4 * time.Second // answers are lost, from the first request on
	lostShare     = 0.05            // of the answers of half of the servers
)

// encodedSlash: a once_only route has a resendable one below it, and clients send once_only requests whose names hold an encoded slash.
// Some answers are lost. No once_only request may run more than once.
func encodedSlash(r *record, trouble bool) (verdict, error) {
	n, err := startNetwork(r, 3, 2)
	if n != nil {
		defer n.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	var lossEnds time.Time
	work := func(s *server, x *exchange) {
		io.Copy(io.Discard, x.Body)
		s.run(x)
		time.Sleep(50 * time.Millisecond)
		if trouble && s.zone == "xela-sala" && time.Now().Before(lossEnds) && rand.Float64() < lostShare {
			r.add(s.id, "the answer to %s is lost: its connection is reset", x.id)
			x.conn.(*net.TCPConn).SetLinger(0)
			x.conn.Close()
			return
		}
		x.answer(http.StatusOK, map[string]string{"Postmark": s.postmark(x), "Load": "1,0,32"}, "tally taken\n")
	}
	var servers []*server
	for i := range 4 {
		s, err := n.startServer(fmt.Sprint("i-", i+1), "hoja-conteo", []string{"xela-sala", "toto-sala"}[i%2], 100+i, 0, work)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	routes := []route{{"r-tally", "/volo102/", "once_only", "hoja-conteo", "2000ms", "800ms", "", 2},
		{"r-status", "/volo102/status/", "resendable", "hoja-conteo", "2000ms", "800ms", "", 2}}
	if err := n.configure(configuration(1, 0, routes, "hoja-conteo"), "r1", 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := n.ready(10 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // more than contact
	lossEnds = time.Now().Add(lostFor)
	var clients sync.WaitGroup
	answers := make([]answer, slashRequests)
	for i := range slashRequests {
		clients.Go(func() {
			answers[i] = n.try(n.edges()[i%len(n.edges())], http.MethodPost, fmt.Sprintf("/volo102/status%%2F%d", i), fmt.Sprintf("tally%04d", i+1), []byte("tally"), 2*time.Second)
		})
		time.Sleep(slashGap)
	}
	clients.Wait()
	runsOf := map[string]int{}
	for _, s := range servers {
		s.mu.Lock()
		for id, runs := range s.runs {
			runsOf[id] += runs
		}
		s.mu.Unlock()
	}
	twice := 0
	for id, runs := range runsOf {
		if runs > 1 {
			twice++
			r.add("check", "%s ran %d times", id, runs)
		}
	}
	return verdict{twice > 0, fmt.Sprintf("%d of %d once_only requests ran more than once", twice, slashRequests)}, nil
}
