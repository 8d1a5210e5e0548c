package report

import (
	"math"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// The layout of the plot: one tile for each measure.
const (
	tileColumns = 3
	tileWidth   = 5 * vg.Inch
	tileHeight  = 3.2 * vg.Inch
	tilePad     = 0.15 * vg.Inch
)

// plot draws each measure over the sizes, with a line for each system.
func (r *Report) plot(path string) error {
	names := distinct(r.Figures, func(f Figure) string { return f.Name })
	if len(names) == 0 {
		return nil
	}
	rows := (len(names) + tileColumns - 1) / tileColumns
	canvas := vgimg.New(tileColumns*tileWidth, vg.Length(rows)*tileHeight)
	area := draw.New(canvas)
	tiles := draw.Tiles{Rows: rows, Cols: tileColumns, PadX: tilePad, PadY: tilePad, PadTop: tilePad, PadBottom: tilePad, PadLeft: tilePad, PadRight: tilePad}
	for i, name := range names {
		p, err := r.plotOf(name)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(area, i%tileColumns, i/tileColumns))
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write plot"), file.Close())
	}
	return errors.Wrap(file.Close(), "close plot")
}

func (r *Report) plotOf(name string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = r.SizeName
	p.Y.Min = 0
	var lines []any
	for _, system := range distinct(r.Figures, func(f Figure) string { return f.System }) {
		points := r.pointsOf(name, system, &p.Y.Label.Text)
		if len(points) > 0 {
			lines = append(lines, system, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, errors.Wrapf(err, "plot %s", name)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p, nil
}

func (r *Report) pointsOf(name, system string, unit *string) plotter.XYs {
	var points plotter.XYs
	for _, f := range r.Figures {
		if f.Name != name || f.System != system || math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
			continue
		}
		points = append(points, plotter.XY{X: f.Size, Y: f.Value})
		*unit = f.Unit
	}
	return points
}
