package ctl

import (
	"image/color"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Dimensions of the image that logsPlotCommand draws.
const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 9 * vg.Inch
	// plotPanels is the number of panels, from top to bottom: latency, failures, upstreams.
	plotPanels = 3
	// plotPadding is the space between panels.
	plotPadding = vg.Inch / 6
)

// plotted is the set of events that a plot shows.
var plotted = map[event.Code]bool{
	event.RequestAnswered: true, event.RequestRefused: true, event.RequestUnknown: true,
	event.UpstreamRegistered: true, event.UpstreamRemoved: true,
}

func (a *app) logsPlotCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "plot --out FILE.png [FILE...]",
		Short: "Plot latency, refusals and upstreams over time; - or no file is the standard input",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args, func(l *logLine) bool { return plotted[l.Code] })
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return withCode(NotFound, errors.New("no log line that can be plotted"))
			}
			return drawLogs(lines, out)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "path of the PNG image to write")
	_ = cmd.MarkFlagRequired("out") // fails only if the flag does not exist
	return cmd
}

// drawLogs draws the log lines to a PNG file. The horizontal axis is the time in seconds
// since the first line.
func drawLogs(lines []logLine, path string) error {
	start := lines[0].Time
	panels := []func([]logLine, time.Time) (*plot.Plot, error){plotLatency, plotFailures, plotUpstreams}
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: plotPanels, Cols: 1, PadY: plotPadding, PadTop: plotPadding, PadBottom: plotPadding, PadRight: plotPadding}
	whole := draw.New(canvas)
	for i, panel := range panels {
		p, err := panel(lines, start)
		if err != nil {
			return err
		}
		p.X.Min, p.X.Max = 0, max(seconds(lines[len(lines)-1].Time, start), 1)
		p.X.Label.Text = "seconds after " + start.Format(time.RFC3339)
		p.Draw(tiles.At(whole, 0, i))
	}
	return writePNG(canvas, path)
}

func writePNG(canvas *vgimg.Canvas, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	return f.Close()
}

func seconds(t, start time.Time) float64 { return t.Sub(start).Seconds() }

// Colours of the plotted data.
var (
	plotGood = color.RGBA{0x1f, 0x77, 0xb4, 0xff}
	plotBad  = color.RGBA{0xd6, 0x27, 0x28, 0xff}
	plotSlow = color.RGBA{0xff, 0x7f, 0x0e, 0xff}
)

// plotLatency plots the latency of each answered request in the logs: those that were late
// or sent more than once, and a sample of the others.
func plotLatency(lines []logLine, start time.Time) (*plot.Plot, error) {
	var points plotter.XYs
	for _, l := range lines {
		if l.Code == event.RequestAnswered {
			points = append(points, plotter.XY{X: seconds(l.Time, start), Y: float64(l.Elapsed) / 1000})
		}
	}
	p := plot.New()
	p.Title.Text = "answered requests in the logs"
	p.Y.Label.Text = "latency, ms"
	p.Add(plotter.NewGrid())
	if len(points) == 0 {
		return p, nil
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, errors.Wrap(err, "latency")
	}
	dots.Color = plotGood
	dots.Radius = vg.Points(1.5)
	p.Add(dots)
	return p, nil
}

// plotFailures plots, per second, the number of requests that were refused and of those
// whose outcome is unknown.
func plotFailures(lines []logLine, start time.Time) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "requests without a response from an upstream"
	p.Y.Label.Text = "requests per second"
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	length := int(seconds(lines[len(lines)-1].Time, start)) + 1
	for _, kind := range []struct {
		code   event.Code
		name   string
		colour color.Color
	}{{event.RequestRefused, "refused", plotSlow}, {event.RequestUnknown, "outcome unknown", plotBad}} {
		counts := make(plotter.XYs, length)
		for i := range counts {
			counts[i].X = float64(i)
		}
		for _, l := range lines {
			if l.Code == kind.code {
				counts[int(seconds(l.Time, start))].Y++
			}
		}
		if err := addSteps(p, kind.name, kind.colour, counts); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// plotUpstreams plots how many upstreams accept requests and how many are draining, from
// the log of the host with the most lines about upstreams.
func plotUpstreams(lines []logLine, start time.Time) (*plot.Plot, error) {
	host := hostWithMostUpstreamLines(lines)
	ready, draining := make(map[string]bool), make(map[string]bool)
	var readyLine, drainingLine plotter.XYs
	for _, l := range lines {
		if l.Host != host {
			continue
		}
		switch {
		case l.Code == event.UpstreamRegistered && l.Reason == "draining":
			delete(ready, l.Upstream)
			draining[l.Upstream] = true
		case l.Code == event.UpstreamRegistered:
			ready[l.Upstream] = true
		case l.Code == event.UpstreamRemoved:
			delete(ready, l.Upstream)
			delete(draining, l.Upstream)
		default:
			continue
		}
		at := seconds(l.Time, start)
		readyLine = append(readyLine, plotter.XY{X: at, Y: float64(len(ready))})
		drainingLine = append(drainingLine, plotter.XY{X: at, Y: float64(len(draining))})
	}
	end := seconds(lines[len(lines)-1].Time, start)
	readyLine = append(readyLine, plotter.XY{X: end, Y: float64(len(ready))})
	drainingLine = append(drainingLine, plotter.XY{X: end, Y: float64(len(draining))})
	p := plot.New()
	p.Title.Text = "upstreams that host " + host + " has logged since its first line"
	p.Y.Label.Text = "upstreams"
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	if err := addSteps(p, "ready", plotGood, readyLine); err != nil {
		return nil, err
	}
	return p, addSteps(p, "draining", plotSlow, drainingLine)
}

// hostWithMostUpstreamLines returns the host with the most lines about upstreams.
func hostWithMostUpstreamLines(lines []logLine) string {
	counts := make(map[string]int)
	best := lines[0].Host
	for _, l := range lines {
		if l.Code != event.UpstreamRegistered && l.Code != event.UpstreamRemoved {
			continue
		}
		counts[l.Host]++
		if counts[l.Host] > counts[best] {
			best = l.Host
		}
	}
	return best
}

// addSteps adds a step line, which keeps each value until the next point.
func addSteps(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, name)
	}
	line.StepStyle = plotter.PostStep
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
