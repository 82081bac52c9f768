package listener

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// freshConnection is the age up to which a connection carries a request that was sent right after it was opened.
	freshConnection = 500 * time.Millisecond
	// closeDelay is how long the close of a connection may follow the bytes before it, if a network that had lost both
	// sends them again: two round trips between regions.
	closeDelay = 300 * time.Millisecond
)

type connectionKey struct{}

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptedAt time.Time
}

// withConnection keeps the connection for the handlers of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection{Conn: conn, acceptedAt: time.Now()})
}

// Presence tells whether the sender of a request still waits for the response.
type Presence struct {
	ctx context.Context
	// conn is nil if the server was not started by Run.
	conn net.Conn
	// settledAt is when a close that the sender had sent with the request has arrived too.
	settledAt time.Time
}

// NewPresence returns the presence of the sender of a request that has just been read.
func NewPresence(r *http.Request) Presence {
	p := Presence{ctx: r.Context(), settledAt: time.Now()}
	if accepted, ok := r.Context().Value(connectionKey{}).(connection); ok {
		p.conn = accepted.Conn
		if time.Since(accepted.acceptedAt) > freshConnection {
			p.settledAt = p.settledAt.Add(closeDelay)
		}
	}
	return p
}

// Waiting reports whether the sender still waits. It asks the socket, since the server notices a closed connection only
// some time after it has read the request. On a connection that was opened some time before the request it waits for a
// close that may be on its way: that is how requests arrive which a broken network held up.
func (p Presence) Waiting() bool {
	timer := time.NewTimer(time.Until(p.settledAt))
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-timer.C:
	}
	return p.conn == nil || !closedByPeer(p.conn)
}
