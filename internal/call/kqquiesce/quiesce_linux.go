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

// Quiesce lets the kernel drop each further request for a connection to l,
// which must be plain TCP: Go listens for multipath TCP unless told otherwise,
// and the kernel takes no filter for that.
//
// A listener that is simply closed resets the connections that the kernel has
// set up and the program has not accepted yet. Their callers are connected and
// may have sent a call; they would see it cut. Once Quiesce has returned no
// connection is added to those, so that a short while later the listener can be
// closed with none left. Callers whose request was dropped ask again after a
// second and are then refused, with nothing sent.
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
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("quiesce %s: %w", l.Addr(), err)
	}
	return nil
}
