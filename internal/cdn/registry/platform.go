package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/usage"
)

// maxCallTimeout bounds a call of the platform, as does the lease. A request written within it carries its fencing
// token, however late it arrives.
const maxCallTimeout = 3 * time.Second

// platformLimits bound the head of an answer; its body is not read. Few calls are in progress at once, so that they are not charged.
var platformLimits = boundedhttp.Limits{HeadBytes: 16 << 10, HeadLines: 128, InterimResponses: 4}

// platformClient calls the operators' platform. Each call uses a new connection, so that the lease is checked after the
// connection is established and right before the request is written.
type platformClient struct {
	address string
	holder  string        // the node name, sent with each call
	timeout time.Duration // of one call
}

// platformAnswer is the result of a call.
type platformAnswer struct {
	outcome    usage.CallOutcome
	retryAfter time.Duration // requested by the platform; 0 if none
	err        error
}

// usageBody is the JSON body of a window's usage report.
type usageBody struct {
	Round   int64            `json:"round"`
	Tallies map[string]int64 `json:"tallies"`
}

// encodeUsage encodes a report. Equal reports give the same bytes, because map keys are sorted.
func encodeUsage(report clusterstate.UsageReport) []byte {
	body := usageBody{Round: report.Round, Tallies: report.Counts}
	if body.Tallies == nil {
		body.Tallies = map[string]int64{}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: only integers and maps of integers
	}
	return encoded
}

// sendReport sends the report of one window. It calls maySend once the connection is established, right before the
// write.
func (p platformClient) sendReport(ctx context.Context, step usage.Step, maySend func() bool) platformAnswer {
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(callCtx, "tcp", p.address)
	if err != nil {
		return platformAnswer{outcome: usage.NotSent, err: err}
	}
	defer conn.Close()
	deadline, _ := callCtx.Deadline()
	conn.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	request, encoded := p.buildRequest(step)
	if !maySend() {
		return platformAnswer{outcome: usage.NotSent, err: Error.New("the lease may have expired")}
	}
	dropUnsentAtClose(conn, true)
	if _, err := conn.Write(encoded); err != nil {
		return platformAnswer{outcome: usage.Unanswered, err: err}
	}
	response, err := boundedhttp.NewReader(conn, platformLimits).Response(request.Method, boundedhttp.Uncharged{})
	if err != nil {
		return platformAnswer{outcome: usage.Unanswered, err: err}
	}
	dropUnsentAtClose(conn, false)
	return classifyResponse(response)
}

// dropUnsentAtClose sets whether Close discards unsent data. If it does, data held back by a network partition cannot
// arrive after another holder may have started to act.
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

// buildRequest encodes the whole request, so that no work remains between the lease check and the write.
func (p platformClient) buildRequest(step usage.Step) (*http.Request, []byte) {
	body := encodeUsage(step.Report)
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/usage", bytes.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: the address was validated with the settings
	}
	request.Close = true
	request.Header.Set("Holder", p.holder)
	request.Header.Set("Fence", strconv.FormatUint(step.Fence, 10))
	request.Header.Set("Content-Type", "application/json")
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		panic(err) // cannot happen: writes to a buffer do not fail
	}
	return request, encoded.Bytes()
}

// classifyResponse maps a response to the outcome of the call.
func classifyResponse(response *http.Response) platformAnswer {
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

// retryAfter parses a Retry-After value as a number of seconds. Any other value gives 0.
func retryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > 1e6 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
