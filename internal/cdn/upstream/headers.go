package upstream

import (
	"net/http"
	"strings"
)

// Header names of the protocol between clients, routers and servers, in canonical form.
const (
	HeaderRequestID    = "Try-Id"        // request id, chosen by the client and repeated in the response
	HeaderTimeLeft     = "Time-Left"     // time until the request's deadline, in milliseconds
	HeaderStamp        = "Postmark"      // marks a success response as genuine
	HeaderTargetServer = "Addressee"     // id of the server that the request is meant for
	HeaderNotProcessed = "Not-Delivered" // present if the server did not process the request
	HeaderLoad         = "Load"
	HeaderLabels       = "Labels" // cache labels of the object, separated by spaces
	HeaderServerID     = "Server-Id"
	HeaderClientKey    = "Key"    // the client's API key, never passed to a server
	HeaderTenant       = "Sender" // the tenant that owns the client's key, as passed to servers
)

// StatusKey is the key under which a reply's header holds the server's status. No real header can have this name.
const StatusKey = ":status"

// hopByHop holds the headers that apply to one connection or to one request only.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Expect": true, HeaderRequestID: true, HeaderTimeLeft: true, HeaderTargetServer: true}

// EndToEnd removes the hop-by-hop headers from h, in place, and returns h.
func EndToEnd(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if hopByHop[name] {
			delete(h, name)
		}
	}
	return h
}
