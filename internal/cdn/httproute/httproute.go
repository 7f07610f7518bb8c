// Package httproute routes HTTP requests by method and path. Paths are matched segment by segment; a segment in braces matches any text,
// which is passed to the handler.
package httproute

import (
	"net/http"
	"net/url"
	"strings"
)

// Handler handles a request; param is the path segment that matched the braces, empty if there are none.
type Handler func(w http.ResponseWriter, r *http.Request, param string)

// Mux is an http.Handler that calls the handler of the route that matches a request. It is a tree with a node per path segment, and each
// node is itself a Mux. Routes must be added before it serves requests.
type Mux struct {
	children map[string]*Mux
	wildcard *Mux
	handlers map[string]Handler
}

// Handle adds a route for a method and a path such as /servers/{id}, and returns the Mux.
func (m *Mux) Handle(method, path string, h Handler) *Mux {
	node := m
	for segment := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		next := &node.wildcard
		if !strings.HasPrefix(segment, "{") {
			if node.children == nil {
				node.children = map[string]*Mux{}
			}
			if node.children[segment] == nil {
				node.children[segment] = &Mux{}
			}
			node = node.children[segment]
			continue
		}
		if *next == nil {
			*next = &Mux{}
		}
		node = *next
	}
	if node.handlers == nil {
		node.handlers = map[string]Handler{}
	}
	node.handlers[method] = h
	return m
}

// ServeHTTP calls the matching handler. It responds with 404 if no path matches, or 405 if the path has no handler for the method.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, param := m, ""
	for segment := range strings.SplitSeq(strings.Trim(r.URL.EscapedPath(), "/"), "/") {
		text, err := url.PathUnescape(segment) // an encoded slash does not end its segment
		next := node.children[text]
		if next == nil && node.wildcard != nil && text != "" {
			next, param = node.wildcard, text
		}
		if next == nil || err != nil {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		node = next
	}
	h := node.handlers[r.Method]
	switch {
	case h != nil:
		h(w, r, param)
	case node.handlers == nil:
		http.Error(w, "no such call", http.StatusNotFound)
	default:
		http.Error(w, "not with this method", http.StatusMethodNotAllowed)
	}
}
