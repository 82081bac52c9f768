package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither end has closed, as the system numbers it.
const tcpEstablished = 1

// closedByPeer reports whether the system has received the end of a connection, also behind bytes that were not read yet.
func closedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		// Without an answer of the system, the server still notices the end of the connection itself.
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}
