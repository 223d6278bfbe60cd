// Command days draws days of mixed faults for a deployment of the bench, one TOML file each.
//
//	go run ./tools/days -site SITE.toml -first 1 -count 20 -dir OUT
//
// A day takes its traffic from the first standard day of the site file. Its faults are drawn from
// all kinds that the bench lists, at any moment, overlapping and repeated. Most days end with a
// closing fault. The number of a day is its seed: the same site file and number give the same day.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	site := flag.String("site", "", "site file of the bench")
	first := flag.Uint64("first", 1, "number of the first day")
	count := flag.Uint64("count", 1, "how many days to draw")
	dir := flag.String("dir", ".", "folder that the days are written to")
	only := flag.String("only", "", "kinds that every day must contain, separated by commas")
	flag.Parse()
	if err := run(*site, *dir, *first, *count, splitKinds(*only)); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

func run(site, dir string, first, count uint64, only []string) error {
	siteData, err := readSite(site)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create the folder of days: %w", err)
	}
	for number := first; number < first+count; number++ {
		path := filepath.Join(dir, fmt.Sprintf("%s-%d.toml", siteData.Name, number))
		if err := writeDay(path, draw(siteData, number, only)); err != nil {
			return err
		}
	}
	return nil
}
