package serve

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signals delivers the process's signals as requests to stop or to reload.
type signals struct {
	// stop is closed by the first SIGTERM or SIGINT.
	stop chan struct{}
	// reload has an entry while a SIGHUP has not been handled.
	reload chan struct{}
	raw    chan os.Signal
}

// catchSignals handles the process's signals until end is called. SIGPIPE is ignored, since the
// write to a broken pipe returns an error anyway.
func catchSignals() *signals {
	s := &signals{
		stop:   make(chan struct{}),
		reload: make(chan struct{}, 1),
		raw:    make(chan os.Signal, 4),
	}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.raw, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go s.dispatch()
	return s
}

func (s *signals) dispatch() {
	var once sync.Once
	for received := range s.raw {
		if received != syscall.SIGHUP {
			once.Do(func() { close(s.stop) })
			continue
		}
		select {
		case s.reload <- struct{}{}:
		default:
		}
	}
}

func (s *signals) end() {
	signal.Stop(s.raw)
	close(s.raw)
}
