package daemon

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/shared"
)

// factsCmd compares the shared state of several routers.
type factsCmd struct {
	Addrs []string `arg:"" help:"Operators' addresses of the routers, as 127.0.0.1:9000."`
	All   bool     `help:"Print what all say alike as well."`
}

// pageLimits bound what operators' commands read from a router.
var pageLimits = boundedhttp.Limits{HeadBytes: 16 << 10, HeadLines: 128, InterimResponses: 4, BodyBytes: 32 << 20}

// httpGet requests a page from addr and returns its body; any status other than 200 is an error.
func httpGet(addr, path string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", addr, callTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, addr); err != nil {
		return nil, err
	}
	reader := boundedhttp.NewReader(c, pageLimits)
	resp, err := reader.Response(http.MethodGet, boundedhttp.Uncharged{})
	if err != nil {
		return nil, err
	}
	text, err := reader.Body(resp, http.MethodGet, boundedhttp.Uncharged{})
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %s: %.200s", addr, resp.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}

// compareFacts prints the facts that routers hold, one line for each, and every copy where they differ. It returns 1
// if they differ or if a router does not answer.
func (p processEnv) compareFacts(c factsCmd) int {
	status := 0
	reports, byFact := []shared.Report{}, map[string]map[string]shared.Fact{} // by kind and subject, then router
	for _, addr := range c.Addrs {
		text, err := httpGet(addr, "/facts")
		var r shared.Report
		if err == nil {
			err = json.Unmarshal(text, &r)
		}
		if err != nil {
			fmt.Fprintln(p.stderr, "cedarmast: facts:", err)
			status = 1
			continue
		}
		reports = append(reports, r)
		for _, f := range r.Facts {
			name := f.Kind + " " + f.Subject
			if byFact[name] == nil {
				byFact[name] = map[string]shared.Fact{}
			}
			byFact[name][r.Router] = f
		}
	}
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "router\tlife\tdigest\tin step\tfacts")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\n", r.Router, r.Life, r.Digest, r.InStep, len(r.Facts))
	}
	w.Flush()
	identical := 0
	fmt.Fprintln(w, "\nfact\trouters\tsays\tcopies")
	for _, name := range slices.Sorted(maps.Keys(byFact)) {
		routersByLine := map[string][]string{} // names of the routers that print this line
		for _, r := range reports {
			line := "-\tno copy"
			if f, ok := byFact[name][r.Router]; ok {
				var copies []string
				for _, one := range f.Copies {
					copies = append(copies, fmt.Sprintf("%s by %s/%d", one.Says, one.Life, one.Count))
				}
				line = f.Says + "\t" + strings.Join(copies, ", ")
			}
			routersByLine[line] = append(routersByLine[line], r.Router)
		}
		one := slices.Sorted(maps.Keys(routersByLine))[0]
		if len(routersByLine) == 1 && !strings.Contains(one, ", ") && !c.All { // identical on all routers, and only one copy
			identical++
			continue
		}
		if len(routersByLine) > 1 {
			status = 1
		}
		for _, line := range slices.Sorted(maps.Keys(routersByLine)) {
			routers := strings.Join(routersByLine[line], " ")
			if len(routersByLine) == 1 {
				routers = "all"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", name, routers, line)
		}
	}
	w.Flush()
	if identical > 0 {
		fmt.Fprintf(p.stdout, "%d more identical on all routers\n", identical)
	}
	return status
}
