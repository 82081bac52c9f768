package acceptor

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unreadBytes returns the number of written bytes that the peer has not received.
func unreadBytes(conn syscall.Conn) int64 {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(descriptor uintptr) {
		// Without an answer of the system, all written bytes count as received.
		unread, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return int64(unread)
}
