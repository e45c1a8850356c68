package slopes

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/harness"
)

// Roles of the processes that are measured.
const (
	RoleLeader   = "leading store"
	RoleFollower = "following store"
	RoleEntry    = "entry"
)

const note = "cpu_cores is user and system time from /proc/<pid>/stat per second; rss_bytes is VmRSS at the end of the window; " +
	"read and write rates are rchar and wchar of /proc/<pid>/io, which count the bytes of sockets and files together. " +
	"Sizes are totals of the fleet; each figure is of one process."

// Point is one process in one window.
type Point struct {
	Dimension string  `json:"dimension"`
	Size      float64 `json:"size"`
	// Asked is the size that was asked for; it differs from Size for rates.
	Asked               float64 `json:"asked_size"`
	Role                string  `json:"role"`
	Instance            string  `json:"instance"`
	CPUCores            float64 `json:"cpu_cores"`
	RSSBytes            float64 `json:"rss_bytes"`
	ReadBytesPerSecond  float64 `json:"read_bytes_per_second"`
	WriteBytesPerSecond float64 `json:"write_bytes_per_second"`
	DonePerSecond       float64 `json:"done_per_second"`
	Failed              int64   `json:"failed_requests"`
	LoadAverage         float64 `json:"machine_load_average"`
}

// Fit is the line of one quantity of one role over one dimension.
type Fit struct {
	Dimension string `json:"dimension"`
	Unit      string `json:"per"`
	Role      string `json:"role"`
	Quantity  string `json:"quantity"`
	Line
}

// Report is the content of the result file.
type Report struct {
	Note          string  `json:"note"`
	Go            string  `json:"go"`
	CPUs          int     `json:"cpus"`
	WindowSeconds float64 `json:"window_seconds"`
	Windows       int     `json:"windows"`
	Fits          []Fit   `json:"fits"`
	// Sizes are CBOR bodies without the frame, at the design size.
	Sizes  []Size  `json:"sizes"`
	Points []Point `json:"points"`
}

// quantities are what is fitted.
var quantities = []struct {
	name  string
	value func(Point) float64
}{
	{"cpu_cores", func(p Point) float64 { return p.CPUCores }},
	{"rss_bytes", func(p Point) float64 { return p.RSSBytes }},
	{"read_bytes_per_second", func(p Point) float64 { return p.ReadBytesPerSecond }},
	{"write_bytes_per_second", func(p Point) float64 { return p.WriteBytesPerSecond }},
}

func newReport(o Options) (Report, error) {
	r := Report{Note: note, Go: runtime.Version(), CPUs: runtime.NumCPU(), WindowSeconds: o.Window.Seconds(), Windows: o.Windows}
	var err error
	r.Sizes, err = sizes()
	return r, err
}

func newPoint(d Dimension, size float64, role, instance string, u usage) Point {
	return Point{
		Dimension: d.Name, Size: size, Asked: size, Role: role, Instance: instance,
		CPUCores: u.CPUCores, RSSBytes: u.RSSBytes,
		ReadBytesPerSecond: u.ReadBytesPerSecond, WriteBytesPerSecond: u.WriteBytesPerSecond,
		LoadAverage: loadAverage(),
	}
}

func roleOf(p *harness.Process, leader string) string {
	switch {
	case p.Kind == harness.KindEntry:
		return RoleEntry
	case p.Advertised == leader:
		return RoleLeader
	default:
		return RoleFollower
	}
}

// fit replaces the fits by those of the points.
func (r *Report) fit() {
	r.Fits = nil
	for _, d := range Dimensions() {
		for _, role := range []string{RoleLeader, RoleFollower, RoleEntry} {
			for _, q := range quantities {
				xs, ys := r.series(d.Name, role, q.value)
				line, err := fitLine(xs, ys)
				if err != nil {
					continue
				}
				r.Fits = append(r.Fits, Fit{Dimension: d.Name, Unit: d.Unit, Role: role, Quantity: q.name, Line: line})
			}
		}
	}
}

func (r *Report) series(dimension, role string, value func(Point) float64) (xs, ys []float64) {
	for _, p := range r.Points {
		if p.Dimension == dimension && p.Role == role {
			xs = append(xs, p.Size)
			ys = append(ys, value(p))
		}
	}
	return xs, ys
}

// Keep adds the points of an earlier report for the dimensions that this one
// did not measure.
func (r *Report) Keep(earlier Report) {
	measured := map[string]bool{}
	for _, p := range r.Points {
		measured[p.Dimension] = true
	}
	for _, p := range earlier.Points {
		if !measured[p.Dimension] {
			r.Points = append(r.Points, p)
		}
	}
	order := map[string]int{}
	for i, d := range Dimensions() {
		order[d.Name] = i
	}
	slices.SortStableFunc(r.Points, func(a, b Point) int { return order[a.Dimension] - order[b.Dimension] })
	r.fit()
}

// Load reads a report; a file that does not exist is an empty report.
func Load(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return r, errors.Wrap(err, "slopes: read report")
	}
	return r, errors.Wrap(json.Unmarshal(data, &r), "slopes: decode report")
}

// Save writes the report.
func (r *Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "slopes: encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "slopes: write report")
}

// summarise returns a line with the means for each role of one size.
func summarise(points []Point) []string {
	var out []string
	for _, role := range []string{RoleLeader, RoleFollower, RoleEntry} {
		var size, cpu, rss, read, written, n float64
		for _, p := range points {
			if p.Role != role {
				continue
			}
			n++
			size += p.Size
			cpu += p.CPUCores
			rss += p.RSSBytes
			read += p.ReadBytesPerSecond
			written += p.WriteBytesPerSecond
		}
		if n == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("%-12s %8.1f  %-15s %6.2f%% of a core  %6.1f MB  read %8.0f B/s  written %8.0f B/s  load %.1f",
			points[0].Dimension, size/n, role, 100*cpu/n, rss/n/1e6, read/n, written/n, points[0].LoadAverage))
	}
	return out
}
