package serve

import (
	"net"
	"runtime/debug"
	"sync"
)

const (
	memoryPercent = 70
	// gcPercent trades processor time for a lower peak: a heap of a few MiB is collected at half as much again. A machine with next to no
	// processor trades the other way.
	gcPercent   = 50
	gcScarce    = 200
	scarcePoint = 100

	filesKept   = 200
	callerParts = 16
)

// frugal keeps the process's memory below a bound in MiB, 0 for none; thousandths of a core are what it has, 0 for plenty.
func frugal(mb, thousandths int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(mb) << 20 * memoryPercent / 100)
	debug.SetGCPercent(collect(thousandths))
}

// collect gives by how much a heap grows, in percent, until it is collected.
func collect(thousandths int) int {
	if thousandths > 0 && thousandths < scarcePoint {
		return gcScarce
	}
	return gcPercent
}

// share gives how many connections a door may have open: callers a sixteenth of the descriptors that are not kept for files (visits have their own share), peers no bound of their own.
func share(d Door, descriptors int) int {
	if d.Most > 0 || descriptors == 0 || d.Field != "listen" {
		return d.Most
	}
	return max(1, (descriptors-filesKept)/callerParts)
}

// bounded closes what is accepted beyond most open connections at once, so that the other side goes elsewhere; 0 bounds nothing.
func bounded(l net.Listener, most int) net.Listener {
	if most <= 0 {
		return l
	}
	return &gate{Listener: l, free: make(chan struct{}, most)}
}

type gate struct {
	net.Listener
	free chan struct{}
}

type passed struct {
	net.Conn
	once sync.Once
	gate *gate
}

// Accept gives the next connection that has a place.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case g.free <- struct{}{}:
			return &passed{Conn: c, gate: g}, nil
		default:
			_ = c.Close()
		}
	}
}

// Close gives the place back.
func (p *passed) Close() error {
	p.once.Do(func() { <-p.gate.free })
	return p.Conn.Close()
}
