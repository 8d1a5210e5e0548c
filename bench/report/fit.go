package report

import (
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// minPoints is the smallest number of sizes that a line is fitted to.
const minPoints = 4

// Fit is the least-squares line through a figure's values over its sizes.
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
	// At is a size outside the measured range and Value the extrapolated value at that size.
	At    float64 `json:"at"`
	Value float64 `json:"value"`
	// Error is the standard error of Value.
	Error float64 `json:"error"`
}

// AddFit fits a line to the figures of one name and system and extrapolates it to a size. It returns an
// error for fewer than four sizes.
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
		return errors.Newf("%s of %s: cannot fit a line to only %d sizes", name, system, len(xs))
	}
	r.Fits = append(r.Fits, fitLine(Fit{Name: name, System: system, Unit: unit, At: at}, xs, ys))
	return nil
}

// fitLine computes a simple linear regression with the textbook standard errors, which assume normal
// residuals of equal variance.
func fitLine(f Fit, xs, ys []float64) Fit {
	n := float64(len(xs))
	meanX, meanY := mean(xs), mean(ys)
	var sumXX, sumXY, sumYY, sumResiduals float64
	for i, x := range xs {
		sumXX += (x - meanX) * (x - meanX)
		sumXY += (x - meanX) * (ys[i] - meanY)
		sumYY += (ys[i] - meanY) * (ys[i] - meanY)
	}
	f.Points = len(xs)
	f.Slope = sumXY / sumXX
	f.Intercept = meanY - f.Slope*meanX
	for i, x := range xs {
		residual := ys[i] - f.Intercept - f.Slope*x
		sumResiduals += residual * residual
	}
	if sumYY > 0 {
		f.R2 = 1 - sumResiduals/sumYY
	}
	variance := sumResiduals / (n - 2)
	f.SlopeError = math.Sqrt(variance / sumXX)
	f.Value = f.Intercept + f.Slope*f.At
	f.Error = math.Sqrt(variance * (1/n + (f.At-meanX)*(f.At-meanX)/sumXX))
	return f
}

func mean(values []float64) float64 {
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
			FormatNumber(f.Intercept), f.Unit, FormatNumber(f.Slope), FormatNumber(f.SlopeError), f.R2, f.Points,
			FormatNumber(f.At), FormatNumber(f.Value), FormatNumber(f.Error), f.Unit)
	}
}
