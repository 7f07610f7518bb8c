package upstream

import (
	"net/http"
	"strings"
)

// The headers that servers and clients speak, in canonical form.
const (
	HeaderID       = "Try-Id"
	HeaderLeft     = "Time-Left"
	HeaderStamp    = "Postmark"
	HeaderFor      = "Addressee"
	HeaderNotRun   = "Not-Delivered"
	HeaderLoad     = "Load"
	HeaderLabels   = "Labels"
	HeaderServerID = "Server-Id"
	HeaderKey      = "Key"    // a client's, never shown to a server
	HeaderSender   = "Sender" // the tenant that holds the client's key, as servers are told
)

// StatusKey is where a reply's header holds the server's status: no header has such a name.
const StatusKey = ":status"

// hopByHop are the headers that belong to one connection, or to one request alone.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Expect": true, HeaderID: true, HeaderLeft: true, HeaderFor: true}

// EndToEnd removes from a head what is not to be passed on.
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
