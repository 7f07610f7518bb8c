// Package httproute matches calls by a tree: one level for the method, one for each part of the path. A part in braces matches
// anything and is handed over.
package httproute

import (
	"net/http"
	"strings"
)

// Handler answers a call; part is what stood at the braces.
type Handler func(w http.ResponseWriter, r *http.Request, part string)

// Tree is a tree of matchers. It is filled before it is used.
type Tree struct {
	children map[string]*Tree
	any      *Tree
	handlers map[string]Handler
}

// On adds a call, as in On("PUT", "/servers/{id}", h).
func (t *Tree) On(method, path string, h Handler) *Tree {
	at := t
	for part := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		next := &at.any
		if !strings.HasPrefix(part, "{") {
			if at.children == nil {
				at.children = map[string]*Tree{}
			}
			if at.children[part] == nil {
				at.children[part] = &Tree{}
			}
			at = at.children[part]
			continue
		}
		if *next == nil {
			*next = &Tree{}
		}
		at = *next
	}
	if at.handlers == nil {
		at.handlers = map[string]Handler{}
	}
	at.handlers[method] = h
	return t
}

// ServeHTTP answers with the handler that matches, 404 or 405.
func (t *Tree) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, held := t, ""
	for part := range strings.SplitSeq(strings.Trim(r.URL.Path, "/"), "/") {
		next := at.children[part]
		if next == nil && at.any != nil && part != "" {
			next, held = at.any, part
		}
		if next == nil {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		at = next
	}
	h := at.handlers[r.Method]
	switch {
	case h != nil:
		h(w, r, held)
	case at.handlers == nil:
		http.Error(w, "no such call", http.StatusNotFound)
	default:
		http.Error(w, "not with this method", http.StatusMethodNotAllowed)
	}
}
