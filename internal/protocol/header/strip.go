package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// prefix starts the name of every header of this package.
const prefix = "Wigeonspring-"

// hopByHop lists the headers that apply to one connection only (RFC 9110,
// section 7.6.1). Expect is among them because each hop waits for its own
// interim response.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the headers that apply to one connection only and those that the
// Connection header lists.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// StripInternal removes every header of this package, so that a caller cannot set the
// headers between nodes and a response does not reveal them.
func StripInternal(h http.Header) {
	for name := range h {
		if len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix) {
			delete(h, name)
		}
	}
}
