package rehearse

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"

	"cedarmast/internal/kit/ledger"
)

//go:embed page.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Parse(pageTemplateText))

const (
	plotWidth  = 1000.0
	plotHeight = 220.0
	rowHeight  = 13.0
	nameWidth  = 110.0
)

// writeHTML writes a report as a self-contained HTML page.
func writeHTML(w io.Writer, r *ledger.Report) error {
	return pageTemplate.Execute(w, map[string]any{"R": r, "Worth": template.HTML(worthPlot(r)), "Load": template.HTML(loadPlot(r)),
		"Timeline": template.HTML(timelinePlot(r)),
		"Beliefs":  template.HTML(viewPlot(r))})
}

// svg builds an SVG image with a time axis.
type svg struct {
	strings.Builder
	seconds int
}

// newSVG starts an image for the given number of seconds.
func newSVG(seconds int, height float64) *svg {
	s := &svg{seconds: max(seconds, 1)}
	fmt.Fprintf(s, `<svg viewBox="0 0 %.0f %.0f">`, nameWidth+plotWidth, height+18)
	return s
}

// x returns the horizontal position of a second.
func (s *svg) x(second float64) float64 { return nameWidth + second*plotWidth/float64(s.seconds) }

func (s *svg) rect(x, y, w, h float64, fill string) {
	fmt.Fprintf(s, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, y, w, h, fill)
}

func (s *svg) text(x, y float64, text string) {
	fmt.Fprintf(s, `<text x="%.1f" y="%.1f">%s</text>`, x, y, template.HTMLEscapeString(text))
}

// finish writes the time axis under the plot and returns the image.
func (s *svg) finish(height float64) string {
	step := max((s.seconds/10+4)/5*5, 1)
	for t := 0; t <= s.seconds; t += step {
		s.text(s.x(float64(t)), height+13, fmt.Sprint(t, " s"))
	}
	s.WriteString("</svg>")
	return s.String()
}

// worthPlot shows the worth asked and earned in each second, and when troubles begin.
func worthPlot(r *ledger.Report) string {
	s, peak := newSVG(len(r.Seconds), plotHeight), 1.0
	for _, sec := range r.Seconds {
		peak = max(peak, sec.Asked)
	}
	for i, sec := range r.Seconds {
		x, w := s.x(float64(i)), plotWidth/float64(s.seconds)-0.5
		asked, earned := sec.Asked/peak*(plotHeight-14), sec.Earned/peak*(plotHeight-14)
		s.rect(x, plotHeight-asked, w, asked, "#c9d6e8")
		s.rect(x, plotHeight-earned, w, earned, "#2b6cb0")
	}
	for _, m := range r.Marks {
		if what, ok := strings.CutPrefix(m.What, "trouble: "); ok {
			x := s.x(m.AtS)
			fmt.Fprintf(s, `<line class="mark" x1="%.1f" x2="%.1f" y1="0" y2="%.0f"/>`, x, x, plotHeight)
			s.text(x+3, 11, what)
		}
	}
	s.text(4, 14, fmt.Sprintf("%.0f a second", peak))
	return s.finish(plotHeight)
}

// timelinePlot shows the fleet's load on its dependencies in each second, one row for each kind, scaled to the row's busiest second.
func timelinePlot(r *ledger.Report) string {
	const timelineRowHeight = 44.0
	names := slices.Sorted(maps.Keys(r.Timeline))
	height := timelineRowHeight * float64(len(names))
	s := newSVG(len(r.Seconds), height)
	for i, name := range names {
		y, peak := float64(i)*timelineRowHeight, max(slices.Max(append([]int{0}, r.Timeline[name]...)), 1)
		s.text(4, y+14, strings.ReplaceAll(name, "_", " "))
		s.text(4, y+28, fmt.Sprintf("most %d", peak))
		for second, n := range r.Timeline[name] {
			h := float64(n) / float64(peak) * (timelineRowHeight - 6)
			s.rect(s.x(float64(second)), y+timelineRowHeight-h, plotWidth/float64(s.seconds)-0.5, h, "#2b6cb0")
		}
	}
	for _, t := range r.Troubles {
		for _, at := range []float64{t.AtS, t.EndS} {
			fmt.Fprintf(s, `<line class="mark" x1="%.1f" x2="%.1f" y1="0" y2="%.0f"/>`, s.x(at), s.x(at), height)
		}
	}
	return s.finish(height)
}

// loadPlot shows each node's load and state in each second.
func loadPlot(r *ledger.Report) string {
	height := rowHeight * float64(len(r.Nodes))
	s := newSVG(len(r.Seconds), height)
	for row, n := range r.Nodes {
		y := float64(row) * rowHeight
		s.text(4, y+10, n.Name)
		for i, load := range n.Load {
			fill := fmt.Sprintf("rgba(43,108,176,%.2f)", min(load, 1))
			switch state := n.State[min(i, len(n.State)-1)]; state {
			case ledger.StateDown:
				fill = "#222"
			case ledger.StateSilent:
				fill = "#8e44ad"
			case ledger.StateDraining:
				fill = "#e0a030"
			case ledger.StateCold:
				s.rect(s.x(float64(i)), y, plotWidth/float64(s.seconds), 2, "#66b")
			}
			s.rect(s.x(float64(i)), y+2, plotWidth/float64(s.seconds)-0.3, rowHeight-3, fill)
		}
	}
	return s.finish(height)
}

// viewPlot compares each router's view of each node with the node's state, in each second.
func viewPlot(r *ledger.Report) string {
	if len(r.Beliefs) == 0 {
		return ""
	}
	var routers []string
	for name := range r.Beliefs {
		routers = append(routers, name)
	}
	slices.Sort(routers)
	height := 0.0
	for range routers {
		height += rowHeight * float64(len(r.Nodes)+1)
	}
	s, y := newSVG(len(r.Seconds), height), 0.0
	for _, router := range routers {
		s.text(4, y+10, router+":")
		y += rowHeight
		for _, n := range r.Nodes {
			s.text(12, y+10, n.Name)
			views := r.Beliefs[router][n.Name]
			for i := 0; i < len(views) && i < len(n.State); i++ {
				serves := n.State[i] == ledger.StateUp || n.State[i] == ledger.StateCold
				fill := ""
				switch inUse := views[i] == ledger.ViewInUse; {
				case views[i] == ledger.ViewUnknown:
					continue
				case inUse && serves:
					fill = "#d5ead9"
				case inUse:
					fill = "#b00020"
				case serves:
					fill = "#e0a030"
				default:
					fill = "#222"
				}
				s.rect(s.x(float64(i)), y+1, plotWidth/float64(s.seconds)-0.3, rowHeight-2, fill)
			}
			y += rowHeight
		}
	}
	return s.finish(height)
}
