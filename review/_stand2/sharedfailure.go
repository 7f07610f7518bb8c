package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	objectRounds  = 60
	objectClients = 6
	objectWork    = 110 * time.Millisecond
	greyShare     = 0.45
	greyFor       = 6500 * time.Millisecond // from the first request on
)

// sharedFailure: one of four servers fails part of its requests. No client may get the answer that a server gave to another request.
func sharedFailure(r *record, trouble bool) (verdict, error) {
	n, err := startNetwork(r, 3, 2)
	if n != nil {
		defer n.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	var greyEnds time.Time
	work := func(s *server, x *exchange) {
		io.Copy(io.Discard, x.Body)
		s.run(x)
		time.Sleep(objectWork)
		header := map[string]string{"Postmark": s.postmark(x), "Load": "1,0,32"}
		if trouble && s.id == "i-1" && time.Now().Before(greyEnds) && rand.Float64() < greyShare {
			r.add(s.id, "answers %s with 500, postmark %q", x.id, s.postmark(x))
			x.answer(http.StatusInternalServerError, header, "failed\n")
			return
		}
		header["ETag"], header["Labels"] = `"1"`, "all"
		x.answer(http.StatusOK, header, "object "+x.URL.Path+"\n")
	}
	for i := range 4 {
		if _, err := n.startServer(fmt.Sprint("i-", i+1), "guia-store", []string{"xela-sala", "toto-sala"}[i%2], 100+i, 0, work); err != nil {
			return verdict{}, err
		}
	}
	routes := []route{{"r-checklist", "/lohu930/", "shelved", "guia-store", "2000ms", "200ms", "20s", 1}}
	if err := n.configure(configuration(1, 0, routes, "guia-store"), "r1", 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := n.ready(10 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // more than contact
	greyEnds = time.Now().Add(greyFor)
	foreign, failures := 0, 0
	for round := range objectRounds {
		var clients sync.WaitGroup
		answers := make([]answer, objectClients)
		for i := range objectClients {
			id := fmt.Sprintf("read%03d%c", round+1, 'a'+i)
			clients.Go(func() {
				answers[i] = n.try(n.edges()[i%len(n.edges())], http.MethodGet, fmt.Sprintf("/lohu930/%d", round), id, nil, 2*time.Second)
			})
			time.Sleep(5 * time.Millisecond)
		}
		clients.Wait()
		for i, a := range answers {
			if a.status != http.StatusInternalServerError || a.postmark == "" {
				continue
			}
			failures++
			if id := fmt.Sprintf("read%03d%c", round+1, 'a'+i); !strings.HasSuffix(a.postmark, "."+id) {
				foreign++
				r.add("check", "%s got the failure %q that a server gave to another request", id, a.postmark)
			}
		}
	}
	return verdict{foreign > 0, fmt.Sprintf("%d clients got a server's failure, %d of them one that a server gave to another request", failures, foreign)}, nil
}
