package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/usage"
)

// longestCall bounds a call of the platform; a lease does as well. What is written within it carries its fence, however late it lands.
const longestCall = 3 * time.Second

// platformClient calls the operators' platform, each time on a connection of its own, so that the look at the lease stands between the
// connection and the write.
type platformClient struct {
	address string
	holder  string
	within  time.Duration
}

// platformAnswer is what came of a call.
type platformAnswer struct {
	outcome    usage.CallOutcome
	retryAfter time.Duration // asked for by the platform
	err        error
}

// usageBody is a window's report on the wire.
type usageBody struct {
	Round   int64            `json:"round"`
	Tallies map[string]int64 `json:"tallies"`
}

// encodeUsage writes a report, always the same bytes for the same one: keys of maps are sorted.
func encodeUsage(report clusterstate.UsageReport) []byte {
	body := usageBody{Round: report.Round, Tallies: report.Counts}
	if body.Tallies == nil {
		body.Tallies = map[string]int64{}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // plain maps
	}
	return text
}

// report sends one window. maySend is asked once the connection is there, right before the write.
func (p platformClient) report(ctx context.Context, step usage.Step, maySend func() bool) platformAnswer {
	call, done := context.WithTimeout(ctx, p.within)
	defer done()
	conn, err := new(net.Dialer).DialContext(call, "tcp", p.address)
	if err != nil {
		return platformAnswer{outcome: usage.NotSent, err: err}
	}
	defer conn.Close()
	due, _ := call.Deadline()
	conn.SetDeadline(due)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	request, text := p.request(step)
	if !maySend() {
		return platformAnswer{outcome: usage.NotSent, err: Error.New("the lease is not surely held")}
	}
	dropUnsentAtClose(conn, true)
	if _, err := conn.Write(text); err != nil {
		return platformAnswer{outcome: usage.Unanswered, err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return platformAnswer{outcome: usage.Unanswered, err: err}
	}
	response.Body.Close()
	dropUnsentAtClose(conn, false)
	return judge(response)
}

// dropUnsentAtClose says whether what a cut holds up is lost with its connection, so that it does not land once another holder may act.
func dropUnsentAtClose(conn net.Conn, drop bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1
	if drop {
		linger = 0
	}
	tcp.SetLinger(linger)
}

// request makes a call's bytes, so that nothing is left to do between the look at the lease and the write.
func (p platformClient) request(step usage.Step) (*http.Request, []byte) {
	body := encodeUsage(step.Report)
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/usage", bytes.NewReader(body))
	if err != nil {
		panic(err) // the address was checked when the settings were read
	}
	request.Close = true
	request.Header.Set("Holder", p.holder)
	request.Header.Set("Fence", strconv.FormatUint(step.Fence, 10))
	request.Header.Set("Content-Type", "application/json")
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		panic(err) // a buffer takes all
	}
	return request, text.Bytes()
}

// judge tells an answer's outcome.
func judge(response *http.Response) platformAnswer {
	answer := platformAnswer{outcome: usage.Failed, retryAfter: retryAfter(response.Header.Get("Retry-After"))}
	switch response.StatusCode {
	case http.StatusOK:
		answer.outcome = usage.Accepted
		return answer
	case http.StatusConflict:
		answer.outcome = usage.Refused
	case http.StatusTooManyRequests:
		answer.outcome = usage.Busy
	}
	answer.err = Error.New("%s", response.Status)
	return answer
}

// retryAfter reads a number of seconds; anything else asks for nothing.
func retryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > 1e6 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
