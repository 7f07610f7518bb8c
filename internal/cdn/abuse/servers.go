package abuse

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// repeatedBytes is about how much of an endless answer is written at once.
const repeatedBytes = 64 << 10

// EndlessAnswer is what a faulty server sends in place of an answer. It goes on until the connection is closed.
type EndlessAnswer struct {
	Name string
	// Start returns what is sent first, to a request with an id.
	Start func(id string) string
	// Repeat is sent after it, again and again.
	Repeat string
}

// EndlessAnswers are all kinds of endless answers: heads and bodies that do not end, and whole answers that others follow.
var EndlessAnswers = []EndlessAnswer{
	{Name: "a status line that goes on", Start: startWith("HTTP/1.1 200 "), Repeat: "x"},
	{Name: "bytes that are no answer", Start: startWith(""), Repeat: "\x81\x00nothing"},
	{Name: "a header line that goes on", Start: startWith("HTTP/1.1 200 OK\r\nX-Line: "), Repeat: "x"},
	{Name: "header lines of 900 bytes", Start: startWith("HTTP/1.1 200 OK\r\n"), Repeat: "X-Line: " + strings.Repeat("x", 900) + "\r\n"},
	{Name: "header lines of 4 bytes", Start: startWith("HTTP/1.1 200 OK\r\n"), Repeat: "x:\r\n"},
	{Name: "folded header lines", Start: startWith("HTTP/1.1 200 OK\r\nX-Line: x\r\n"), Repeat: " x\r\n"},
	{Name: "interim answers", Start: startWith(""), Repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{Name: "a whole answer, then bytes", Start: wholeAnswer, Repeat: "x"},
	{Name: "whole answers to other requests", Start: startWith(""), Repeat: wholeAnswer("another")},
	{Name: "a body without a length", Start: answerHead(""), Repeat: "x"},
	{Name: "a body of 9e18 bytes", Start: answerHead("Content-Length: 9000000000000000000\r\n"), Repeat: "x"},
	{Name: "chunks", Start: answerHead("Transfer-Encoding: chunked\r\n"), Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	{Name: "a chunk of 2^55 bytes", Start: answerHead("Transfer-Encoding: chunked\r\n", "80000000000000\r\n"), Repeat: "x"},
	{Name: "a chunk's extension", Start: answerHead("Transfer-Encoding: chunked\r\n", "1;x="), Repeat: "x"},
	{Name: "trailers", Start: answerHead("Transfer-Encoding: chunked\r\n", "0\r\n"), Repeat: "X-Line: x\r\n"},
}

// startWith returns a start that does not depend on the request.
func startWith(text string) func(string) string { return func(string) string { return text } }

// answerHead returns a start that is the head of a success with some more header lines, and what stands behind it.
func answerHead(lines string, behind ...string) func(id string) string {
	return func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTry-Id: %s\r\nPostmark: endless.%s\r\n%s\r\n%s", id, id, lines, strings.Join(behind, ""))
	}
}

// wholeAnswer returns a whole answer to the request with an id.
func wholeAnswer(id string) string { return answerHead("Content-Length: 4\r\n", "fine")(id) }

// Send sends the answer to a request with an id until the connection is closed.
func (a EndlessAnswer) Send(w http.ResponseWriter, id string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, a.Start(id)); err != nil {
		return err
	}
	repeated := []byte(strings.Repeat(a.Repeat, 1+repeatedBytes/len(a.Repeat)))
	for {
		if _, err := conn.Write(repeated); err != nil {
			return err
		}
	}
}

// EndlessServer is a server that is well by its health checks and heartbeats and answers every request without end.
type EndlessServer struct {
	answer   atomic.Pointer[EndlessAnswer]
	requests atomic.Int64
}

// SetAnswer sets how further requests are answered.
func (s *EndlessServer) SetAnswer(answer EndlessAnswer) { s.answer.Store(&answer) }

// Requests returns how many requests the server has got.
func (s *EndlessServer) Requests() int { return int(s.requests.Load()) }

// ServeHTTP implements http.Handler.
func (s *EndlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := s.answer.Load()
	if r.URL.Path == "/health" || answer == nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		answer.Send(w, r.Header.Get("Try-Id"))
	}
}
