package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"

	"postjunction/internal/apierror"
)

// Sums are the counters of all processes since their start, added up.
type Sums struct {
	Records, Syncs, Accepted, ChangelogBatches, ChangelogItems, Streams uint64
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
		"counters since each start: records %d syncs %d accepted %d, syncs per message %.2f, records per sync "+
			"%.2f, changelog batches %d, items per message %.2f, streams %d",
		s.Records, s.Syncs, s.Accepted, ratio(s.Syncs, s.Accepted), ratio(s.Records, s.Syncs), s.ChangelogBatches,
		ratio(s.ChangelogItems, s.Accepted), s.Streams)
}

// Totals adds up the counters of all machines.
func Totals(fleet *Fleet) (Sums, error) {
	var sums Sums
	for _, process := range fleet.Processes {
		response, err := process.transport.Client.Get(process.transport.Base + "/v1/counters")
		if err != nil {
			return sums, apierror.Wrap(apierror.Unreachable, err, "%s", process.Name)
		}
		var counters struct {
			Streams uint64 `json:"streams"`
			Journal struct {
				Records uint64 `json:"Records"`
				Batches uint64 `json:"Batches"`
			} `json:"journal"`
			Leaders []struct {
				Counters struct {
					Accepted uint64 `json:"Taken"`
					Batches  uint64 `json:"Batches"`
					Items    uint64 `json:"Items"`
				} `json:"tally"`
			} `json:"owners"`
		}
		err = json.NewDecoder(response.Body).Decode(&counters)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || err != nil {
			return sums, apierror.Wrap(apierror.Malformed, err, "%s", process.Name)
		}
		sums.Records, sums.Syncs, sums.Streams = sums.Records+counters.Journal.Records,
			sums.Syncs+counters.Journal.Batches, sums.Streams+counters.Streams
		for _, leader := range counters.Leaders {
			sums.Accepted, sums.ChangelogBatches, sums.ChangelogItems = sums.Accepted+leader.Counters.Accepted,
				sums.ChangelogBatches+leader.Counters.Batches, sums.ChangelogItems+leader.Counters.Items
		}
	}
	return sums, nil
}
