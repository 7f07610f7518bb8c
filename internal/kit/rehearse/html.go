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
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

const (
	plotWidth  = 1000.0
	plotHeight = 220.0
	rowHeight  = 13.0
	nameWidth  = 110.0
)

// writeHTML writes a report as one page without anything outside of it.
func writeHTML(w io.Writer, r *ledger.Report) error {
	return page.Execute(w, map[string]any{"R": r, "Worth": template.HTML(worthPlot(r)), "Load": template.HTML(loadPlot(r)),
		"Timeline": template.HTML(timelinePlot(r)),
		"Beliefs":  template.HTML(beliefPlot(r))})
}

// svg gathers shapes.
type svg struct {
	strings.Builder
	seconds int
}

func newSVG(seconds int, height float64) *svg {
	s := &svg{seconds: max(seconds, 1)}
	fmt.Fprintf(s, `<svg viewBox="0 0 %.0f %.0f">`, nameWidth+plotWidth, height+18)
	return s
}

func (s *svg) x(second float64) float64 { return nameWidth + second*plotWidth/float64(s.seconds) }

func (s *svg) box(x, y, w, h float64, fill string) {
	fmt.Fprintf(s, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, y, w, h, fill)
}

func (s *svg) text(x, y float64, text string) {
	fmt.Fprintf(s, `<text x="%.1f" y="%.1f">%s</text>`, x, y, template.HTMLEscapeString(text))
}

// end writes the time line under the plot.
func (s *svg) end(height float64) string {
	step := max((s.seconds/10+4)/5*5, 1)
	for t := 0; t <= s.seconds; t += step {
		s.text(s.x(float64(t)), height+13, fmt.Sprint(t, " s"))
	}
	s.WriteString("</svg>")
	return s.String()
}

func worthPlot(r *ledger.Report) string {
	s, most := newSVG(len(r.Seconds), plotHeight), 1.0
	for _, sec := range r.Seconds {
		most = max(most, sec.Asked)
	}
	for i, sec := range r.Seconds {
		x, w := s.x(float64(i)), plotWidth/float64(s.seconds)-0.5
		asked, earned := sec.Asked/most*(plotHeight-14), sec.Earned/most*(plotHeight-14)
		s.box(x, plotHeight-asked, w, asked, "#c9d6e8")
		s.box(x, plotHeight-earned, w, earned, "#2b6cb0")
	}
	for _, m := range r.Marks {
		if what, ok := strings.CutPrefix(m.What, "trouble: "); ok {
			x := s.x(m.AtS)
			fmt.Fprintf(s, `<line class="mark" x1="%.1f" x2="%.1f" y1="0" y2="%.0f"/>`, x, x, plotHeight)
			s.text(x+3, 11, what)
		}
	}
	s.text(4, 14, fmt.Sprintf("%.0f a second", most))
	return s.end(plotHeight)
}

// timelinePlot shows what the fleet asks for in each second, a row each, against the row's own busiest second.
func timelinePlot(r *ledger.Report) string {
	const row = 44.0
	names := slices.Sorted(maps.Keys(r.Timeline))
	height := row * float64(len(names))
	s := newSVG(len(r.Seconds), height)
	for i, name := range names {
		y, most := float64(i)*row, max(slices.Max(append([]int{0}, r.Timeline[name]...)), 1)
		s.text(4, y+14, strings.ReplaceAll(name, "_", " "))
		s.text(4, y+28, fmt.Sprintf("most %d", most))
		for second, n := range r.Timeline[name] {
			h := float64(n) / float64(most) * (row - 6)
			s.box(s.x(float64(second)), y+row-h, plotWidth/float64(s.seconds)-0.5, h, "#2b6cb0")
		}
	}
	for _, t := range r.Troubles {
		for _, at := range []float64{t.AtS, t.EndS} {
			fmt.Fprintf(s, `<line class="mark" x1="%.1f" x2="%.1f" y1="0" y2="%.0f"/>`, s.x(at), s.x(at), height)
		}
	}
	return s.end(height)
}

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
				s.box(s.x(float64(i)), y, plotWidth/float64(s.seconds), 2, "#66b")
			}
			s.box(s.x(float64(i)), y+2, plotWidth/float64(s.seconds)-0.3, rowHeight-3, fill)
		}
	}
	return s.end(height)
}

func beliefPlot(r *ledger.Report) string {
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
			believed := r.Beliefs[router][n.Name]
			for i := 0; i < len(believed) && i < len(n.State); i++ {
				serves := n.State[i] == ledger.StateUp || n.State[i] == ledger.StateCold
				fill := ""
				switch used := believed[i] == ledger.ViewInUse; {
				case believed[i] == ledger.ViewUnknown:
					continue
				case used && serves:
					fill = "#d5ead9"
				case used:
					fill = "#b00020"
				case serves:
					fill = "#e0a030"
				default:
					fill = "#222"
				}
				s.box(s.x(float64(i)), y+1, plotWidth/float64(s.seconds)-0.3, rowHeight-2, fill)
			}
			y += rowHeight
		}
	}
	return s.end(height)
}
