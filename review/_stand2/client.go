package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one try.
type answer struct {
	status   int // 0: none
	postmark string
	id       string // Try-Id of the answer
	body     string
	after    time.Duration // since the try was sent
	err      error
}

// try sends one request on a new connection to an edge and waits for its answer, at most for the time left.
func (n *network) try(m *machine, method, path, id string, body []byte, timeLeft time.Duration) answer {
	return n.send(m, method, path, id, body, 0, timeLeft)
}

// upload is try for a client that sends the second half of its body after a pause.
func (n *network) upload(m *machine, path, id string, body []byte, pause, timeLeft time.Duration) answer {
	return n.send(m, http.MethodPost, path, id, body, pause, timeLeft)
}

// send sends a request, with a pause in the middle, and waits for its answer.
func (n *network) send(m *machine, method, path, id string, body []byte, pause, timeLeft time.Duration) (a answer) {
	started := time.Now()
	defer func() {
		a.after = time.Since(started)
		outcome := fmt.Sprintf("%d, postmark %q", a.status, a.postmark)
		if a.status == 0 {
			outcome = fmt.Sprintf("no answer (%v)", a.err)
		}
		n.record.add("client", "%s: %s after %.3f s", id, outcome, a.after.Seconds())
	}()
	n.record.add("client", "sends %s to %s: %s %s, %d bytes, Time-Left %d", id, m.name, method, path, len(body), timeLeft.Milliseconds())
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, clientPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(started.Add(timeLeft))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nTime-Left: %d\r\n", method, path, domain, id, timeLeft.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := append([]byte(head+"\r\n"), body...)
	if pause > 0 {
		if _, err := c.Write(text[:len(text)/2]); err != nil {
			return answer{err: err}
		}
		time.Sleep(pause)
		text = text[len(text)/2:]
	}
	if _, err := c.Write(text); err != nil {
		return answer{err: err}
	}
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, postmark: resp.Header.Get("Postmark"), id: resp.Header.Get("Try-Id"), body: string(got)}
}
