package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"

	"postjunction/internal/apierror"
)

// Sums are counters added up over the fleet, since each process's start.
type Sums struct {
	Records, Batches, Accepted, ChangelogBatches, ChangelogItems, Streams uint64
}

// String writes the sums and their ratios.
func (s Sums) String() string {
	ratio := func(a, b uint64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return fmt.Sprintf(
		"counters since each start: records %d syncs %d taken %d, syncs per message %.2f, records per sync "+
			"%.2f, changelog batches %d, items per message %.2f, streams %d",
		s.Records, s.Batches, s.Accepted, ratio(s.Batches, s.Accepted), ratio(s.Records, s.Batches), s.ChangelogBatches,
		ratio(s.ChangelogItems, s.Accepted), s.Streams)
}

// Totals adds the counters of all machines up.
func Totals(f *Fleet) (Sums, error) {
	var s Sums
	for _, p := range f.Processes {
		a, err := p.port.Client.Get(p.port.Base + "/v1/counters")
		if err != nil {
			return s, apierror.Wrap(apierror.Unreachable, err, "%s", p.Name)
		}
		var c struct {
			Streams uint64 `json:"streams"`
			Journal struct {
				Records uint64 `json:"Records"`
				Batches uint64 `json:"Batches"`
			} `json:"journal"`
			Owners []struct {
				Tally struct {
					Taken   uint64 `json:"Taken"`
					Batches uint64 `json:"Batches"`
					Items   uint64 `json:"Items"`
				} `json:"tally"`
			} `json:"owners"`
		}
		err = json.NewDecoder(a.Body).Decode(&c)
		_ = a.Body.Close()
		if a.StatusCode != http.StatusOK || err != nil {
			return s, apierror.Wrap(apierror.Malformed, err, "%s", p.Name)
		}
		s.Records, s.Batches, s.Streams = s.Records+c.Journal.Records, s.Batches+c.Journal.Batches, s.Streams+c.Streams
		for _, o := range c.Owners {
			s.Accepted, s.ChangelogBatches, s.ChangelogItems = s.Accepted+o.Tally.Taken, s.ChangelogBatches+o.Tally.Batches,
				s.ChangelogItems+o.Tally.Items
		}
	}
	return s, nil
}
