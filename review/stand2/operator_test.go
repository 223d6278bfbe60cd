//go:build review

package stand2

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// space is one space of topics of a configuration, of the two kinds that the site has.
type space struct {
	Prefix string
	Kept   bool
}

func kept(prefix string) space { return space{prefix, true} }

func live(prefix string) space { return space{prefix, false} }

// document returns a whole configuration as PROTOCOL.md shows one.
func document(version int, spaces ...space) []byte {
	return fill("configuration.json.tmpl", map[string]any{"Version": version, "Spaces": spaces})
}

var caller = &http.Client{
	Timeout:       time.Second,
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes one call to a machine's control port. Status 0 is no answer within a second.
func call(m *machine, method, path string, header map[string]string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+m.address(controlPort)+path, bytes.NewReader(body))
	must(err)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := caller.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, answer
}

// replace sends a configuration to the machines in turn until one acknowledges it, and returns that
// machine, or nil once the time is over.
func (r *run) replace(machines []*machine, base int, config []byte, limit time.Duration) *machine {
	pause, until := 20*time.Millisecond, time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		m := machines[i%len(machines)]
		status, answer := call(m, http.MethodPost, replacePath,
			map[string]string{baseHeader: fmt.Sprint(base)}, config)
		r.note("operator: Replace on %d at %s: %d %.120s", base, m.name, status, answer)
		if status == http.StatusOK {
			return m
		}
		time.Sleep(pause)
		pause = min(pause*3/2, 300*time.Millisecond)
	}
	return nil
}

// readBack asks for the configuration at the machines in turn until one answers with 200, and
// returns the answer.
func (r *run) readBack(machines []*machine, limit time.Duration) []byte {
	pause, until := 50*time.Millisecond, time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		m := machines[i%len(machines)]
		status, answer := call(m, http.MethodGet, readPath, nil, nil)
		r.note("operator: Read at %s: %d %.80s", m.name, status, answer)
		if status == http.StatusOK {
			return answer
		}
		time.Sleep(pause)
		pause = min(pause*3/2, 500*time.Millisecond)
	}
	return nil
}
