package dispatch

import (
	"github.com/pearshelf/pearshelf/internal/content"
)

// content identifies the request by what it is, so that it is known when it comes again.
// The body must have been read.
func (r *Request) content() content.ID {
	return content.Of(content.Request{
		Method:   r.in.Method,
		Host:     r.in.Host,
		Target:   r.in.URL.RequestURI(),
		Caller:   r.Caller,
		Body:     r.body.kept,
		Streamed: !r.body.isKept,
	})
}

// contentLabel is what logs show of the content, empty while the body has not been read.
func (r *Request) contentLabel() string {
	if !r.body.isKept && !r.body.streamed {
		return ""
	}
	return r.content().Label()
}

// noteFate notes what became of a server whose connection broke while it had the request.
func (x *exchange) noteFate(lease *place) {
	lease.try.fate = x.d.fates.Of(lease.Server.Address).String()
}
