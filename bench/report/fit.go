package report

import (
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// minPoints is the least number of sizes that a slope is taken from.
const minPoints = 4

// Fit is the line that fits a figure over its sizes by least squares.
type Fit struct {
	Name      string  `json:"name"`
	System    string  `json:"system"`
	Unit      string  `json:"unit"`
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance that the line explains, 0 to 1.
	R2 float64 `json:"r2"`
	// At is a size beyond those measured and Value what the line gives there.
	At    float64 `json:"at"`
	Value float64 `json:"value"`
	// Error is the standard error of Value.
	Error float64 `json:"error"`
}

// AddFit fits the figures of one name and system and extends the line to a
// size. Fewer than four sizes are no slope.
func (r *Report) AddFit(name, system string, at float64) error {
	var xs, ys []float64
	unit := ""
	for _, f := range r.Figures {
		if f.Name == name && f.System == system {
			xs = append(xs, f.Size)
			ys = append(ys, f.Value)
			unit = f.Unit
		}
	}
	if len(xs) < minPoints {
		return errors.Newf("%s of %s: %d sizes are too few for a slope", name, system, len(xs))
	}
	r.Fits = append(r.Fits, fitLine(Fit{Name: name, System: system, Unit: unit, At: at}, xs, ys))
	return nil
}

// fitLine is simple linear regression; the errors are those of a text book,
// for normal residuals of one variance.
func fitLine(f Fit, xs, ys []float64) Fit {
	n := float64(len(xs))
	middleX, middleY := average(xs), average(ys)
	var spread, shared, total, residuals float64
	for i, x := range xs {
		spread += (x - middleX) * (x - middleX)
		shared += (x - middleX) * (ys[i] - middleY)
		total += (ys[i] - middleY) * (ys[i] - middleY)
	}
	f.Points = len(xs)
	f.Slope = shared / spread
	f.Intercept = middleY - f.Slope*middleX
	for i, x := range xs {
		residual := ys[i] - f.Intercept - f.Slope*x
		residuals += residual * residual
	}
	if total > 0 {
		f.R2 = 1 - residuals/total
	}
	variance := residuals / (n - 2)
	f.SlopeError = math.Sqrt(variance / spread)
	f.Value = f.Intercept + f.Slope*f.At
	f.Error = math.Sqrt(variance * (1/n + (f.At-middleX)*(f.At-middleX)/spread))
	return f
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// WriteFits prints the fits as rows of a Markdown table.
func (r *Report) WriteFits(out io.Writer) {
	fmt.Fprintf(out, "| role | figure | at 0 | slope for each of %s | r² | sizes | at size | there |\n", r.SizeName)
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, f := range r.Fits {
		fmt.Fprintf(out, "| %s | %s | %s %s | %s ± %s | %.2f | %d | %s | %s ± %s %s |\n", f.System, f.Name,
			Number(f.Intercept), f.Unit, Number(f.Slope), Number(f.SlopeError), f.R2, f.Points,
			Number(f.At), Number(f.Value), Number(f.Error), f.Unit)
	}
}
