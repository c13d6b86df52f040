// Package capacity measures on one machine what the parts of a daemon cost at
// several sizes, and fits slopes by which the cost at the size to design for is
// worked out. docs/CAPACITY.md is made from its output.
package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is one measurement.
type Point struct {
	// Size is what was varied, Cost what it took.
	Size, Cost float64
}

// Slope is a series of measurements with a line fitted through them.
type Slope struct {
	Name string
	// SizeUnit and CostUnit say what is counted.
	SizeUnit, CostUnit string
	Points             []Point
	// PerSize and Fixed describe the line: cost = Fixed + PerSize * size.
	PerSize, Fixed float64
	// Fit is the coefficient of determination, 1 for points on a line. It tells
	// little where the cost doesn't depend on the size.
	Fit float64
}

// fit lays the line through the points by least squares.
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
	var rest, all float64
	for _, p := range s.Points {
		off, spread := p.Cost-s.CostAt(p.Size), p.Cost-sy/n
		rest += off * off
		all += spread * spread
	}
	s.Fit = 1
	if all > 0 {
		s.Fit = 1 - rest/all
	}
}

// NearestCost returns the cost measured at the size nearest to the given one, for sizes
// at which the line's fixed part would hide the rest.
func (s *Slope) NearestCost(size float64) float64 {
	best := s.Points[0]
	for _, p := range s.Points {
		if math.Abs(p.Size-size) < math.Abs(best.Size-size) {
			best = p
		}
	}
	return best.Cost
}

// CostAt returns the cost that the line gives for a size.
func (s *Slope) CostAt(size float64) float64 {
	return s.Fixed + s.PerSize*size
}

// Report is all that was measured.
type Report struct {
	Slopes []Slope
	Rows   []Row
}

// Row is one cost at the size to design for.
type Row struct {
	Role, What, Mechanism string
	Value                 float64
	Unit                  string
	// Limit is zero if there is none.
	Limit float64
	// Basis is "measured", "fitted" or "assumed", with the slope's name.
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
