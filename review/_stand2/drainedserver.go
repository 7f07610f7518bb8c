package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploads      = 24
	uploadBytes  = 20000
	uploadPause  = 8 * time.Second // of a client in the middle of its body
	moveAfter    = time.Second     // from the start of the uploads, until the route is moved
	leaveAfter   = 2 * time.Second // until servers of the former service say that they leave
	drain        = 2 * time.Second // the bound of the site
	serveOn      = 6300 * time.Millisecond
	lateRunWork  = time.Second // of a request
	uploadsLimit = "20s"

	formerServers = 7 // of the service that is removed, as in the site
	newServers    = 2 // of the service to which its route is moved
	leavingServer = 1 // the second of the former ones
)

// leaver is a server that leaves: it says closing, serves on, sends DELETE and ends.
type leaver struct {
	*server
	mu      sync.Mutex
	ackedAt time.Time // when its closing was acknowledged
	late    []string  // requests that reached it later than drain after that
	conns   []net.Conn
}

// leave announces that the server leaves, and ends it later.
func (l *leaver) leave(n *network) {
	body, _ := json.Marshal(map[string]any{"id": l.id, "carrier": l.service, "address": l.address, "zone": l.zone, "edition": "v1",
		"berths": 32, "state": "closing", "warmup": "0ms", "postmark": 1000})
	for n.beating.Err() == nil {
		status, _, err := n.control(http.MethodPut, "/servers/"+l.id, body, time.Second)
		if err == nil && status == http.StatusOK {
			break
		}
	}
	l.mu.Lock()
	l.ackedAt = time.Now()
	l.mu.Unlock()
	n.record.add(l.id, "says closing, acknowledged")
	time.Sleep(serveOn)
	status, _, _ := n.control(http.MethodDelete, "/servers/"+l.id, nil, 500*time.Millisecond)
	n.record.add(l.id, "sends DELETE: %d, and ends", status)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// drainedServer: clients upload slowly. Meanwhile a configuration moves their route to another service and removes the former one, and
// one of its seven servers leaves. No request may reach a server later than drain after its closing was acknowledged.
func drainedServer(r *record, trouble bool) (verdict, error) {
	n, err := startNetwork(r, 3, 2)
	if n != nil {
		defer n.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	leavers := map[string]*leaver{}
	work := func(s *server, x *exchange) {
		io.Copy(io.Discard, x.Body)
		if l := leavers[s.id]; l != nil {
			l.mu.Lock()
			if late := time.Since(l.ackedAt); !l.ackedAt.IsZero() && late > drain {
				l.late = append(l.late, x.id)
				r.add("check", "%s reaches %s %.3f s after its closing was acknowledged", x.id, s.id, late.Seconds())
			}
			l.conns = append(l.conns, x.conn)
			l.mu.Unlock()
		}
		s.run(x)
		time.Sleep(lateRunWork)
		if x.answer(http.StatusOK, map[string]string{"Postmark": s.postmark(x), "Load": "1,0,32"}, "tally taken\n") == nil {
			r.add(s.id, "has answered %s with 200", x.id)
		}
	}
	for i := range formerServers + newServers {
		id, service := fmt.Sprint("i-", i+1), "hoja-conteo"
		if i >= formerServers {
			service = "hoja-nueva"
		}
		if i == leavingServer {
			leavers[id] = &leaver{}
		}
		s, err := n.startServer(id, service, []string{"xela-sala", "toto-sala", "solola-sala"}[i%3], 100+i, 0, work)
		if err != nil {
			return verdict{}, err
		}
		if i == leavingServer {
			leavers[id].server = s
		}
	}
	routes := func(service string) []route {
		return []route{{"r-tally", "/volo102/", "once_only", service, uploadsLimit, "800ms", "", 2}}
	}
	if err := n.configure(configuration(1, 0, routes("hoja-conteo"), "hoja-conteo", "hoja-nueva"), "r1", 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := n.ready(10 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // more than contact
	var clients sync.WaitGroup
	answers := make([]answer, uploads)
	for i := range uploads {
		clients.Go(func() {
			answers[i] = n.upload(n.edges()[i%len(n.edges())], "/volo102/2f", fmt.Sprintf("tally%04d", i+1), bytes.Repeat([]byte("q"), uploadBytes), uploadPause, 20*time.Second)
		})
	}
	time.Sleep(moveAfter)
	if trouble {
		if err := n.configure(configuration(2, 1, routes("hoja-nueva"), "hoja-nueva"), "r2", 5*time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(leaveAfter - moveAfter)
	var leaving sync.WaitGroup
	for _, l := range leavers {
		leaving.Go(func() { l.stopBeats(); l.leave(n) })
	}
	clients.Wait()
	leaving.Wait()
	late, lost := 0, 0
	for _, l := range leavers {
		late += len(l.late)
		for _, id := range l.late {
			for i, a := range answers {
				if fmt.Sprintf("tally%04d", i+1) == id && a.status != http.StatusOK {
					lost++
				}
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d of %d once_only requests reached a server later than %v after its closing was acknowledged; %d of them were cut off when that server ended",
		late, uploads, drain, lost)}, nil
}
