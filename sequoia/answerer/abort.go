package answerer

import "net/http"

// resetIfAborted resets the connection of a caller without chunked encoding whose response was aborted. Such a caller
// takes the end of the connection for the end of the response.
func resetIfAborted(w http.ResponseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(cause)
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
