package wire

import (
	"net"
	"net/http"
	"time"
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	idlePerFellow = 128
	idleFor       = 30 * time.Second
)

// Real reaches fellows over TCP.
func Real(dial time.Duration) Network {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: idlePerFellow,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
	}}
}
