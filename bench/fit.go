package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// target is the number of instances in two years.
const target = 390

// column is a measured column of the rows that sample prints, and its limit.
type column struct {
	index int
	name  string
	limit float64
}

var columns = []column{
	{1, "cpu %", 1.3}, {3, "memory MB", 32}, {5, "control bytes/s", 12 * 1024}, {7, "store calls/s, all instances", 0},
}

// fit prints for each column the line through the measured sizes, its error,
// and its value at the target; and plots the columns as shares of their limits.
func fit(path, image string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return err
	}
	if len(rows) < 3 {
		return fmt.Errorf("%s has too few rows", path)
	}
	rows = rows[1:]
	p := plot.New()
	p.Title.Text = "control per instance, as a share of its limit"
	p.X.Label.Text, p.Y.Label.Text = "instances", "share of limit"
	var lines []any
	fmt.Println("column,offset,slope_per_instance,rms_error,at_390,limit")
	for _, c := range columns {
		xs, ys := values(rows, 0), values(rows, c.index)
		offset, slope := stat.LinearRegression(xs, ys, nil, false)
		fmt.Printf("%s,%.4g,%.4g,%.3g,%.4g,%.4g\n", c.name, offset, slope, rms(xs, ys, offset, slope), offset+slope*target, c.limit)
		if c.limit > 0 {
			lines = append(lines, c.name, points(xs, ys, c.limit))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, image)
}

func values(rows [][]string, index int) []float64 {
	vs := make([]float64, len(rows))
	for i, row := range rows {
		vs[i], _ = strconv.ParseFloat(row[index], 64)
	}
	return vs
}

func rms(xs, ys []float64, offset, slope float64) float64 {
	sum := 0.0
	for i := range xs {
		d := ys[i] - offset - slope*xs[i]
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(xs)))
}

func points(xs, ys []float64, limit float64) plotter.XYs {
	pts := make(plotter.XYs, len(xs))
	for i := range xs {
		pts[i].X, pts[i].Y = xs[i], ys[i]/limit
	}
	return pts
}
