package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	longBody      = 4 << 20                // bytes of a long request; allowances.parcel_bytes is 64 MiB
	readFirst     = 64 << 10               // bytes of it that a server has read when it answers
	earlyWork     = 50 * time.Millisecond  // before it answers
	readOnAfter   = 300 * time.Millisecond // until it reads the rest
	serverBuffer  = 128 << 10              // receive buffer of a server's connection
	earlyRequests = 20
)

// earlyAnswer: one of three servers answers long once_only requests before it has read them, keeps the connection and reads on later. No request may run
// more than once, and none that has run may be answered with 503.
func earlyAnswer(r *record, trouble bool) (verdict, error) {
	n, err := startNetwork(r, 3, 2)
	if n != nil {
		defer n.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	work := func(s *server, x *exchange) {
		early := trouble && s.id == "i-1"
		if early {
			io.CopyN(io.Discard, x.Body, readFirst)
		} else {
			io.Copy(io.Discard, x.Body)
		}
		s.run(x)
		time.Sleep(earlyWork)
		x.answer(http.StatusOK, map[string]string{"Postmark": s.postmark(x), "Load": "1,0,32"}, "tally taken\n")
		r.add(s.id, "has answered %s with 200", x.id)
		if early {
			time.Sleep(readOnAfter)
		}
		_, err := io.Copy(io.Discard, x.Body)
		r.add(s.id, "has read the rest of %s: %v", x.id, err == nil)
	}
	var servers []*server
	for i, zone := range []string{"xela-sala", "toto-sala", "solola-sala"} {
		s, err := n.startServer(fmt.Sprint("i-", i+1), "hoja-conteo", zone, 100+i, serverBuffer, work)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	routes := []route{{"r-tally", "/volo102/", "once_only", "hoja-conteo", "2000ms", "800ms", "", 2}}
	if err := n.configure(configuration(1, 0, routes, "hoja-conteo"), "r1", 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := n.ready(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // more than contact
	body := bytes.Repeat([]byte("one quetzal, "), longBody/13+1)[:longBody]
	var clients sync.WaitGroup
	answers := make([]answer, earlyRequests)
	for i := range earlyRequests {
		clients.Go(func() {
			answers[i] = n.try(n.edges()[i%len(n.edges())], http.MethodPost, "/volo102/2f", fmt.Sprintf("tally%04d", i+1), body, 2*time.Second)
		})
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	twice, refused, served := 0, 0, 0
	for i, a := range answers {
		id, runs := fmt.Sprintf("tally%04d", i+1), 0
		for _, s := range servers {
			s.mu.Lock()
			runs += s.runs[id]
			s.mu.Unlock()
		}
		if runs > 1 {
			twice++
		}
		if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
		}
		if a.status == http.StatusOK {
			served++
		}
		r.add("check", "%s ran %d times and was answered with %d", id, runs, a.status)
	}
	return verdict{twice+refused > 0, fmt.Sprintf("of %d once_only requests %d ran more than once, %d had run and were answered with 503, %d were answered with 200",
		earlyRequests, twice, refused, served)}, nil
}
