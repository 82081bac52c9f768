package acceptor

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unreadBytes returns the number of written bytes that the peer has not received.
func unreadBytes(conn syscall.Conn) int64 { return queuedBytes(conn, unix.SIOCOUTQ) }

// arrivedBytes returns the number of bytes that have arrived and were not read.
func arrivedBytes(conn syscall.Conn) int64 { return queuedBytes(conn, unix.SIOCINQ) }

func queuedBytes(conn syscall.Conn, queue uint) int64 {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(descriptor uintptr) {
		// Without an answer of the system, nothing counts as queued.
		queued, _ = unix.IoctlGetInt(int(descriptor), queue)
	})
	if err != nil {
		return 0
	}
	return int64(queued)
}
