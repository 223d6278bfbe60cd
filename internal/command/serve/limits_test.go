package serve

import (
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A door with as many connections as it may have closes further ones at once, and takes others once one ends.
func TestConnectionsAreBounded(t *testing.T) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := bounded(in, 2)
	defer func() { _ = l.Close() }()
	got := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			got <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		return c
	}
	a, b := dial(), dial()
	first := <-got
	<-got
	c := dial()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a third connection stayed open")
	assert.NilError(t, first.Close())
	assert.Assert(t, first.Close() != nil, "it was closed, and gives no second place back")
	d := dial()
	last := <-got
	go func() { _, _ = last.Write([]byte("x")) }()
	_, err = io.ReadFull(d, make([]byte, 1))
	assert.NilError(t, err)
	for _, x := range []net.Conn{a, b, c, d} {
		_ = x.Close()
	}
}

// A machine with next to no processor collects rarely, one with plenty keeps its memory low.
func TestHowOftenMemoryIsCollected(t *testing.T) {
	for thousandths, want := range map[int]int{0: 50, 32: 200, 99: 200, 100: 50, 480: 50, 4000: 50} {
		assert.Equal(t, collect(thousandths), want, "%d thousandths", thousandths)
	}
}

// Where the server closes silent connections itself, taking one costs four system calls less.
func TestConnectionsThatAreSweptHaveNoOtherKeeper(t *testing.T) {
	for _, swept := range []bool{true, false} {
		l, err := Door{Address: "127.0.0.1:0", Swept: swept}.listen()
		assert.NilError(t, err)
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		a, err := l.Accept()
		assert.NilError(t, err)
		r, err := a.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		var kept int
		assert.NilError(t, r.Control(func(fd uintptr) { kept, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) }))
		assert.NilError(t, err)
		assert.Equal(t, kept == 0, swept)
		_, _, _ = a.Close(), c.Close(), l.Close()
	}
}

func TestSharesOfDescriptors(t *testing.T) {
	for want, d := range map[int]Door{0: {Field: "fellow_listen"}, 256: {Field: "listen"}, 7: {Field: "other", Most: 7}} {
		assert.Equal(t, share(d, 4300), want)
	}
	assert.Equal(t, share(Door{Field: "listen"}, 0), 0)
}
