package serve

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signals are the process's signals, by what they ask for.
type signals struct {
	// stop is closed by the first SIGTERM or SIGINT.
	stop chan struct{}
	// reload has an entry while a SIGHUP is unanswered.
	reload chan struct{}
	raw    chan os.Signal
}

// catchSignals catches the process's signals until end. SIGPIPE is ignored: a broken pipe is an
// error of the write and no more.
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
