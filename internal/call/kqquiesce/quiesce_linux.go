package kqquiesce

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Offsets and bits of a TCP header (RFC 9293, section 3.1).
const (
	flagsOffset = 13
	synAck      = 0x12
	synOnly     = 0x02
)

// Quiesce makes the kernel drop further connection requests (SYN) to l, which must be plain
// TCP: Go listens for multipath TCP by default, and the kernel attaches no filter to such a
// socket.
//
// Closing a listener resets the connections that the kernel has established and the program
// has not accepted yet. Their callers may already have sent a call, which would be cut off.
// After Quiesce only handshakes that had already begun are completed, so the program can
// accept what is left and close the listener a little later without resetting a connection.
// Callers whose SYN was dropped retry after a second and are then refused before they have
// sent anything.
func Quiesce(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("quiesce %s: %w", l.Addr(), err)
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: synOnly, Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fmt.Errorf("quiesce %s: %w", l.Addr(), err)
	}
	return nil
}
