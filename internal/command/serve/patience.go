package serve

import (
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

// signals are what a process is told from outside: to stop, and to read its settings again.
type signals struct {
	stop  chan struct{}
	again chan struct{}
	raw   chan os.Signal
}

// listen takes signals up. A broken pipe is an error of the write and no more.
func listen() *signals {
	s := &signals{stop: make(chan struct{}), again: make(chan struct{}, 1), raw: make(chan os.Signal, 4)}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.raw, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		var once sync.Once
		for x := range s.raw {
			if x != syscall.SIGHUP {
				once.Do(func() { close(s.stop) })
				continue
			}
			select {
			case s.again <- struct{}{}:
			default:
			}
		}
	}()
	return s
}

func (s *signals) end() {
	signal.Stop(s.raw)
	close(s.raw)
}

// patience keeps a process from ending for what may pass by itself: a port or folder that the previous process still holds, for the recovery bound,
// and a disk that takes no writes, for as long as it lasts.
type patience struct {
	clk    clock.Clock
	bounds settings.Timing
	log    *event.Logger
	stop   <-chan struct{}
	mu     sync.Mutex
	ended  bool
}

var lasting = map[apierror.Code]bool{apierror.DiskFull: true, apierror.DiskFailed: true}

func passing(err error) bool {
	return apierror.HasCode(err, apierror.StillHeld)
}

func patient[T any](p *patience, f func() (T, error)) (T, error) {
	begun := p.clk.Now()
	said := ""
	for {
		x, err := f()
		if err == nil {
			return x, nil
		}
		k := apierror.From(err).Code
		if !lasting[k] && (!passing(err) || p.clk.Now().Sub(begun) > p.bounds.Recovery) {
			return x, err
		}
		if t := err.Error(); t != said {
			said = t
			p.log.Log(event.StartWaits, "problem", err)
		}
		clock.Wait(context.Background(), p.clk, p.bounds.MaxBackoff(), p.stop, nil)
		select {
		case <-p.stop:
			return x, err
		default:
		}
	}
}

func (p *patience) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

func (p *patience) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// listen opens a door's port.
func (d Door) listen() (net.Listener, error) {
	c := net.ListenConfig{}
	if d.Swept {
		c.KeepAlive = -1
	}
	l, err := c.Listen(context.Background(), "tcp", d.Address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, apierror.Wrap(apierror.StillHeld, err, "%s %s", d.Field, d.Address)
	}
	return l, apierror.Wrap(apierror.SettingsInvalid, err, "%s %s", d.Field, d.Address)
}

// serve serves a door, and opens its port again should it break.
func (p *patience) serve(d Door, s Server, l net.Listener) {
	for {
		err := s.Serve(l)
		if err == nil || errors.Is(err, http.ErrServerClosed) || p.over() {
			return
		}
		p.log.Log(event.ServeFailed, "problem", apierror.Wrap(apierror.Internal, err, "serve on %s", d.Address))
		_ = l.Close()
		for {
			_ = p.clk.Sleep(context.Background(), p.bounds.MaxBackoff())
			if p.over() {
				return
			}
			if l, err = d.listen(); err == nil {
				break
			}
		}
	}
}
