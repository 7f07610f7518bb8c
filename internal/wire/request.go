package wire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cedarmast/internal/exchange"
)

// read reads one request whole.
func (c *clientConn) read() (*http.Request, []byte, error) {
	if err := awaitHead(c.r); err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, fmt.Errorf("malformed request: %w", err)
	}
	if req.Host == "" {
		return nil, nil, errors.New("malformed request: no Host")
	}
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	body, err := readBody(req.Body, req.ContentLength)
	return req, body, err
}

// parseRequest reads what the decisions need from a request.
func parseRequest(req *http.Request, body []byte, at time.Time) (exchange.Request, error) {
	r := exchange.Request{Class: req.Header.Get(headerClass), Tenant: req.Header.Get(headerTenant), Arrived: at,
		Method: req.Method, Target: req.RequestURI, Body: body, Write: req.Method == http.MethodPut}
	if req.Header.Get(headerID) == "" {
		return r, fmt.Errorf("no %s", headerID)
	}
	if text := req.Header.Get(headerTimeLeft); text != "" {
		left, err := parseTimeLeft(text)
		if err != nil {
			return r, err
		}
		r.TimeLeft = left
	}
	class, key := splitPath(req.URL.EscapedPath())
	if r.Class == "" {
		r.Class = class
	}
	if key != "" {
		r.Key, r.HasKey = hashKey(key), true
	}
	r.Header = endToEnd(req.Header)
	r.Header.Del(headerTimeLeft)
	r.Header["Host"] = []string{req.Host}
	return r, nil
}

// splitPath returns a path's first part, and its last if there are two or more.
func splitPath(path string) (first, last string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, more := strings.Cut(path, "/")
	if !more {
		return first, ""
	}
	return first, rest[strings.LastIndexByte(rest, '/')+1:]
}

// hashKey maps a key's name to a number, by FNV-1a: the same at every router.
func hashKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
