package scale

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"postjunction/internal/problem"
)

// Append adds lines to a file of figures, with the head when it is new.
func Append(file string, ls []string) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return problem.Wrap(problem.Usage, err, "%s", file)
	}
	if i, err := f.Stat(); err == nil && i.Size() == 0 {
		ls = append([]string{Head}, ls...)
	}
	for _, l := range ls {
		if _, err = fmt.Fprintln(f, l); err != nil {
			break
		}
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return problem.Wrap(problem.Usage, err, "%s", file)
}

type point struct{ x, y float64 }

// line fits y = a + b x by least squares.
func line(ps []point) (a, b float64) {
	var x, y, xx, xy float64
	n := float64(len(ps))
	for _, p := range ps {
		x, y, xx, xy = x+p.x, y+p.y, xx+p.x*p.x, xy+p.x*p.y
	}
	if d := n*xx - x*x; d != 0 {
		b = (n*xy - x*y) / d
	}
	return (y - b*x) / n, b
}

type series map[int][]point

// Slopes reads a file of figures and writes, for each role and figure, the line through all fleet sizes at the least shards, and through all
// numbers of shards at the least fleet: at zero and the slope, each as the median of the tries with least and most.
func Slopes(file string, out io.Writer) error {
	f, err := os.Open(file)
	if err != nil {
		return problem.Wrap(problem.Usage, err, "%s", file)
	}
	defer func() { _ = f.Close() }()
	rs, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rs) < 2 {
		return problem.Because(problem.Usage, err, "%s holds no figures", file)
	}
	nodes, shards := map[string]series{}, map[string]series{}
	leastN, leastP := 1<<30, 1<<30
	num := func(s string) int { n, _ := strconv.Atoi(s); return n }
	size := func(r []string) int { return num(r[0]) + num(r[1]) + num(r[2]) + num(r[3]) }
	for _, r := range rs[1:] {
		leastN, leastP = min(leastN, size(r)), min(leastP, num(r[4]))
	}
	put := func(m map[string]series, k string, try int, x float64, y float64) {
		if m[k] == nil {
			m[k] = series{}
		}
		m[k][try] = append(m[k][try], point{x, y})
	}
	for _, r := range rs[1:] {
		k := r[8] + " " + r[9]
		y, err := strconv.ParseFloat(r[10], 64)
		if err != nil {
			return problem.Wrap(problem.Usage, err, "%s", file)
		}
		if num(r[4]) == leastP {
			put(nodes, k, num(r[7]), float64(size(r)), y)
		}
		if size(r) == leastN {
			put(shards, k, num(r[7]), float64(num(r[4])), y)
		}
	}
	for _, t := range []struct {
		per string
		m   map[string]series
	}{{"node", nodes}, {"shard", shards}} {
		for _, k := range slices.Sorted(maps.Keys(t.m)) {
			var as, bs []float64
			for _, ps := range t.m[k] {
				if !slices.ContainsFunc(ps, func(p point) bool { return p.x != ps[0].x }) {
					continue
				}
				a, b := line(ps)
				as, bs = append(as, a), append(bs, b)
			}
			if len(as) == 0 {
				continue
			}
			if _, err := fmt.Fprintf(out, "per %-5s %-52s at zero %s slope %s %s\n", t.per, k, spread(as), spread(bs), values(t.m[k])); err != nil {
				return problem.Wrap(problem.Usage, err, "slopes")
			}
		}
	}
	return nil
}

func spread(vs []float64) string {
	slices.Sort(vs)
	return fmt.Sprintf("%.4g (%.4g to %.4g)", vs[len(vs)/2], vs[0], vs[len(vs)-1])
}

// values gives the medians by place.
func values(s series) string {
	m := map[float64][]float64{}
	for _, ps := range s {
		for _, p := range ps {
			m[p.x] = append(m[p.x], p.y)
		}
	}
	out := ""
	for _, x := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf(" %g: %s;", x, spread(m[x]))
	}
	return out
}
