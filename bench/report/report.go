package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// The units of figures.
const (
	Milliseconds = "ms"
	Microseconds = "us"
	Bytes        = "B"
	BytesPerSec  = "B/s"
	PerSecond    = "1/s"
	Count        = ""
	Percent      = "%"
	CorePercent  = "% of a core"
	MiB          = "MiB"
)

// Figure is one measured value.
type Figure struct {
	// Name is the name of the measure.
	Name string `json:"name"`
	// System is the measured system: daisygate or a baseline.
	System string `json:"system"`
	// Size is the value of the parameter that the run varies, such as the number of daemons.
	Size  float64 `json:"size"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Param is one parameter of a run.
type Param struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Report holds the results of one run.
type Report struct {
	Command  string    `json:"command"`
	Time     time.Time `json:"time"`
	Revision string    `json:"revision"`
	Machine  Machine   `json:"machine"`
	// SizeName is the unit of Figure.Size.
	SizeName string  `json:"size_name"`
	Params   []Param `json:"params"`
	// Notes are remarks that are needed to interpret the figures.
	Notes   []string `json:"notes,omitempty"`
	Figures []Figure `json:"figures"`
	// Fits are the lines fitted to figures over their sizes.
	Fits []Fit `json:"fits,omitempty"`
}

// New creates the report of a run.
func New(command, revision, sizeName string, params []Param) *Report {
	return &Report{
		Command: command, Time: time.Now().UTC(), Revision: revision,
		Machine: ThisMachine(), SizeName: sizeName, Params: params,
	}
}

// Add appends a figure.
func (r *Report) Add(name, system string, size float64, unit string, value float64) {
	r.Figures = append(r.Figures, Figure{Name: name, System: system, Size: size, Unit: unit, Value: value})
}

// AddDurations appends the p50, p99 and maximum of durations, in milliseconds. It sorts the slice in
// place.
func (r *Report) AddDurations(name, system string, size float64, durations []time.Duration) {
	if len(durations) == 0 {
		return
	}
	slices.Sort(durations)
	r.Add(name+" p50", system, size, Milliseconds, Millis(Quantile(durations, 0.5)))
	r.Add(name+" p99", system, size, Milliseconds, Millis(Quantile(durations, 0.99)))
	r.Add(name+" max", system, size, Milliseconds, Millis(durations[len(durations)-1]))
}

// Note appends a remark.
func (r *Report) Note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Value returns the value of a figure and whether it exists.
func (r *Report) Value(name, system string, size float64) (float64, bool) {
	for _, f := range r.Figures {
		if f.Name == name && f.System == system && f.Size == size {
			return f.Value, true
		}
	}
	return 0, false
}

// Millis returns d in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Quantile returns the q-quantile (0 to 1) of a sorted slice by the nearest
// rank, 0 for an empty one.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.9999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Write prints the metadata of the run, and then a row for each measure and size with a column for each
// system.
func (r *Report) Write(out io.Writer) error {
	r.writeHeader(out)
	systems := distinct(r.Figures, func(f Figure) string { return f.System })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "measure\t%s\tunit\t%s\t\n", r.SizeName, strings.Join(systems, "\t"))
	for _, name := range distinct(r.Figures, func(f Figure) string { return f.Name }) {
		for _, size := range r.sizesOf(name) {
			r.writeRow(w, name, size, systems)
		}
	}
	if err := w.Flush(); err != nil || len(r.Fits) == 0 {
		return err
	}
	fmt.Fprintln(out)
	r.WriteFits(out)
	return nil
}

func (r *Report) writeHeader(out io.Writer) {
	fmt.Fprintf(out, "command   %s\nrevision  %s\nmachine   %s\ntime      %s\n", r.Command, r.Revision, r.Machine, r.Time.Format(time.RFC3339))
	for _, p := range r.Params {
		fmt.Fprintf(out, "%-9s %s\n", p.Name, p.Value)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(out, "note      %s\n", note)
	}
	fmt.Fprintln(out)
}

func (r *Report) writeRow(w io.Writer, name string, size float64, systems []string) {
	cells := make([]string, len(systems))
	unit := ""
	for i, system := range systems {
		cells[i] = "-"
		for _, f := range r.Figures {
			if f.Name == name && f.Size == size && f.System == system {
				cells[i] = FormatNumber(f.Value)
				unit = f.Unit
			}
		}
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", name, FormatNumber(size), unit, strings.Join(cells, "\t"))
}

func (r *Report) sizesOf(name string) []float64 {
	var sizes []float64
	for _, f := range r.Figures {
		if f.Name == name && !slices.Contains(sizes, f.Size) {
			sizes = append(sizes, f.Size)
		}
	}
	return sizes
}

func distinct(figures []Figure, key func(Figure) string) []string {
	var keys []string
	for _, f := range figures {
		if k := key(f); !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// FormatNumber formats a value with four significant digits, or as an integer if it is large.
func FormatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// Save writes the report as JSON and its plot as PNG into dir and returns the
// path of the JSON file.
func (r *Report) Save(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return "", errors.Wrap(err, "create output folder")
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode report")
	}
	base := filepath.Join(dir, name+"-"+r.Time.Format("20060102T150405"))
	if err := os.WriteFile(base+".json", raw, 0o600); err != nil {
		return "", errors.Wrap(err, "write report")
	}
	return base + ".json", r.plot(base + ".png")
}

// Load reads a report from JSON.
func Load(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	var r Report
	return &r, errors.Wrapf(json.Unmarshal(raw, &r), "decode %s", path)
}
