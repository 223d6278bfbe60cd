package serve

import (
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A listener at its connection limit closes further connections immediately. It accepts new ones
// once an open connection ends.
func TestLimitConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limited := limitConnections(inner, 2)
	t.Cleanup(func() { _ = limited.Close() })
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", limited.Addr().String())
		assert.NilError(t, err)
		return conn
	}
	conn1, conn2 := dial(), dial()
	first := <-accepted
	<-accepted
	conn3 := dial()
	_, err = conn3.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a third connection stayed open")
	assert.NilError(t, first.Close())
	assert.Assert(t, first.Close() != nil, "a connection that is closed twice frees one slot")
	conn4 := dial()
	last := <-accepted
	go func() { _, _ = last.Write([]byte("x")) }()
	_, err = io.ReadFull(conn4, make([]byte, 1))
	assert.NilError(t, err)
	for _, conn := range []net.Conn{conn1, conn2, conn3, conn4} {
		_ = conn.Close()
	}
}

// If the server closes idle connections itself, the kernel's keepalive is off. That saves four
// system calls for each accepted connection.
func TestListener_ReapsIdleTurnsKernelKeepaliveOff(t *testing.T) {
	for _, reapsIdle := range []bool{true, false} {
		port, err := Listener{Address: "127.0.0.1:0", ReapsIdle: reapsIdle}.open()
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", port.Addr().String())
		assert.NilError(t, err)
		accepted, err := port.Accept()
		assert.NilError(t, err)
		raw, err := accepted.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		var keepalive int
		assert.NilError(t, raw.Control(func(fd uintptr) {
			keepalive, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		}))
		assert.NilError(t, err)
		assert.Equal(t, keepalive == 0, reapsIdle)
		_, _, _ = accepted.Close(), conn.Close(), port.Close()
	}
}

func TestConnectionLimit(t *testing.T) {
	for want, listener := range map[int]Listener{
		0:   {Setting: "fellow_listen"},
		256: {Setting: "listen"},
		7:   {Setting: "other", MaxConnections: 7},
	} {
		assert.Equal(t, listener.connectionLimit(4300), want)
	}
	assert.Equal(t, Listener{Setting: "listen"}.connectionLimit(0), 0)
}
