// Package capacity measures on one machine the costs of the parts of a daemon at several
// sizes, and fits a line through each series. From these it calculates the costs at the
// design size. Its output is the source of the published capacity figures.
package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is one measurement.
type Point struct {
	// Size is the number that was varied, Cost the cost measured at it.
	Size, Cost float64
}

// Slope is a series of measurements of one cost, with a line fitted through it.
type Slope struct {
	Name string
	// SizeUnit and CostUnit are the units of the points' sizes and costs.
	SizeUnit, CostUnit string
	Points             []Point
	// PerSize and Fixed describe the line: cost = Fixed + PerSize * size.
	PerSize, Fixed float64
	// Fit is the coefficient of determination, which is 1 for points on a line. It means
	// little if the cost doesn't depend on the size.
	Fit float64
}

// fit fits the line to the points by least squares.
func (s *Slope) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.PerSize = (n*sxy - sx*sy) / d
	}
	s.Fixed = (sy - s.PerSize*sx) / n
	var residual, total float64
	for _, p := range s.Points {
		deviation, spread := p.Cost-s.CostAt(p.Size), p.Cost-sy/n
		residual += deviation * deviation
		total += spread * spread
	}
	s.Fit = 1
	if total > 0 {
		s.Fit = 1 - residual/total
	}
}

// NearestCost returns the cost measured at the size nearest to the given one. Use it for
// sizes at which the line's fixed part would dominate its result.
func (s *Slope) NearestCost(size float64) float64 {
	best := s.Points[0]
	for _, p := range s.Points {
		if math.Abs(p.Size-size) < math.Abs(best.Size-size) {
			best = p
		}
	}
	return best.Cost
}

// CostAt returns the cost at a size according to the fitted line.
func (s *Slope) CostAt(size float64) float64 {
	return s.Fixed + s.PerSize*size
}

// Report holds all measurements and the costs calculated from them.
type Report struct {
	Slopes []Slope
	Rows   []Row
}

// Row is one cost at the design size.
type Row struct {
	Role, What, Mechanism string
	Value                 float64
	Unit                  string
	// Limit is zero if there is none.
	Limit float64
	// Basis says how Value was determined: "measured" or "fitted" with the names of slopes,
	// "worked out" or "by design", and what was assumed for it.
	Basis string
}

// Print writes the slopes and the rows as text.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SLOPE\tPOINTS (SIZE: COST)\tPER SIZE\tFIXED\tFIT\tUNITS")
	for i := range r.Slopes {
		s := &r.Slopes[i]
		fmt.Fprintf(t, "%s\t", s.Name)
		for j, p := range s.Points {
			if j > 0 {
				fmt.Fprint(t, ", ")
			}
			fmt.Fprintf(t, "%.0f: %.4g", p.Size, p.Cost)
		}
		fmt.Fprintf(t, "\t%.4g\t%.4g\t%.3f\t%s by %s\n", s.PerSize, s.Fixed, s.Fit, s.CostUnit, s.SizeUnit)
	}
	fmt.Fprintln(t, "\nROLE\tWHAT\tVALUE\tLIMIT\tBASIS\tMECHANISM")
	for i := range r.Rows {
		row := &r.Rows[i]
		limit := "-"
		if row.Limit > 0 {
			limit = fmt.Sprintf("%.4g", row.Limit)
			if row.Value > row.Limit {
				limit += " EXCEEDED"
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%.4g %s\t%s\t%s\t%s\n", row.Role, row.What, row.Value, row.Unit, limit, row.Basis, row.Mechanism)
	}
	return t.Flush()
}
