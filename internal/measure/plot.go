package measure

import (
	"image/color"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plots draws the goodput over time of each deployment, with both sets of policies.
func (r *Report) plots(docs string) error {
	drawn := map[string]bool{}
	for _, run := range r.Runs {
		if drawn[run.Deployment] || len(run.Series) == 0 {
			continue
		}
		drawn[run.Deployment] = true
		if err := r.plot(run.Deployment, filepath.Join(docs, "goodput-"+run.Deployment+".svg")); err != nil {
			return errors.Wrap(err, "measure: plot")
		}
	}
	return nil
}

func (r *Report) plot(deployment, path string) error {
	p := plot.New()
	p.Title.Text = deployment + ": goodput at full load and in three bursts"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "right answers of calls per second"
	p.Y.Min = 0
	p.Legend.Top = true
	colours := map[string]color.Color{
		PoliciesPresent:  color.RGBA{R: 0, G: 90, B: 160, A: 255},
		PoliciesBaseline: color.RGBA{R: 200, G: 80, B: 0, A: 255},
	}
	for _, run := range r.Runs {
		if run.Deployment != deployment {
			continue
		}
		for _, s := range run.Series {
			line, err := plotter.NewLine(points(s))
			if err != nil {
				return err
			}
			line.Color = colours[run.Policies]
			p.Add(line)
			p.Legend.Add(run.Policies+" policies", line)
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(s Series) plotter.XYs {
	xys := make(plotter.XYs, len(s.Points))
	for i, y := range s.Points {
		xys[i] = plotter.XY{X: float64(i) * s.StepSeconds, Y: y}
	}
	return xys
}
