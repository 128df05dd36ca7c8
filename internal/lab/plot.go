package lab

import (
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5.5 * vg.Inch
	barWidth   = vg.Length(8)
)

// tailQuantiles are the quantiles of a tail latency curve, in percent.
var tailQuantiles = []float64{50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9}

// palette holds the colours of the candidates.
var palette = []color.RGBA{
	{0x1f, 0x77, 0xb4, 0xff},
	{0x8c, 0x56, 0x4b, 0xff},
	{0x7f, 0x7f, 0x7f, 0xff},
	{0xff, 0x7f, 0x0e, 0xff},
	{0x94, 0x67, 0xbd, 0xff},
	{0xd6, 0x27, 0x28, 0xff},
	{0x17, 0xbe, 0xcf, 0xff},
	{0xe3, 0x77, 0xc2, 0xff},
	{0x00, 0x00, 0x00, 0xff},
	{0x2c, 0xa0, 0x2c, 0xff},
}

func colorOf(i int) color.Color { return palette[i%len(palette)] }

// legendHeadroom scales the Y axis to leave space for the legend above the bars.
const legendHeadroom = 1.5

// tailTicks are the tick marks of the X axis of a tail latency curve.
var tailTicks = plot.ConstantTicks{
	{Value: 2, Label: "50%"},
	{Value: 10, Label: "90%"},
	{Value: 100, Label: "99%"},
	{Value: 1000, Label: "99.9%"},
}

// PlotTail plots the latency quantiles of all rows to dir/workload-fault.ext and
// returns the file name. The extension selects the format, "svg" or "png".
func PlotTail(dir, ext string, w Workload, f Fault, rows []Row) (string, error) {
	p := plot.New()
	p.Title.Text = w.Name + ", " + f.Name
	p.X.Label.Text = "share of requests answered within"
	p.Y.Label.Text = "latency, ms"
	p.X.Scale = plot.LogScale{}
	p.Y.Scale = plot.LogScale{}
	p.X.Tick.Marker = tailTicks
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = false
	p.Legend.Left = false
	for i, r := range rows {
		line, err := plotter.NewLine(tailPoints(r.Total))
		if err != nil {
			return "", errors.Wrap(err, r.Candidate)
		}
		line.Color = colorOf(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.Candidate, line)
	}
	p.Add(plotter.NewGrid())
	name := filepath.Join(dir, w.Name+"-"+f.Name+"."+ext)
	return name, errors.Wrap(p.Save(plotWidth, plotHeight, name), name)
}

// tailPoints returns the curve of a result. A quantile q is placed at 100/(100-q),
// so that on the logarithmic X axis equal distances mean equal ratios of exceeding
// requests.
func tailPoints(r *Result) plotter.XYs {
	points := make(plotter.XYs, len(tailQuantiles))
	for i, q := range tailQuantiles {
		points[i].X = 100 / (100 - q)
		points[i].Y = max(r.Millis(q), 0.1)
	}
	return points
}

// PlotQuantile plots one latency quantile of all workloads as bars, one colour per
// candidate, to dir/fault-label.ext and returns the file name. The rows of all
// workloads must be in the same order.
func PlotQuantile(dir, ext, label string, quantile float64, f Fault, names []string, rows [][]Row) (string, error) {
	p := plot.New()
	p.Title.Text = f.Name + ", " + label
	p.Y.Label.Text = "latency, ms"
	p.Legend.Top = true
	candidates := len(rows[0])
	for candidate := range candidates {
		values := make(plotter.Values, len(rows))
		for i := range rows {
			values[i] = rows[i][candidate].Total.Millis(quantile)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.Wrap(err, label)
		}
		bars.Color = colorOf(candidate)
		bars.LineStyle.Width = 0
		bars.Offset = (vg.Length(candidate) - vg.Length(candidates-1)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(rows[0][candidate].Candidate, bars)
	}
	p.NominalX(names...)
	p.X.Min -= 0.5
	p.X.Max += 0.5
	p.Y.Max *= legendHeadroom
	name := filepath.Join(dir, f.Name+"-"+label+"."+ext)
	return name, errors.Wrap(p.Save(plotWidth, plotHeight, name), name)
}
