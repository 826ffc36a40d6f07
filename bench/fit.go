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

// targetInstances is the number of instances expected in two years.
const targetInstances = 390

// column is a column of the rows that sample prints, with its limit; 0
// means no limit.
type column struct {
	index int
	name  string
	limit float64
}

var columns = []column{
	{1, "cpu %", 1.3}, {3, "memory MB", 32}, {5, "control bytes/s", 12 * 1024}, {7, "store calls/s, all instances", 0},
}

// fit reads the CSV file at path and prints for each column the linear
// regression over the number of instances, its RMS error, and its value at
// targetInstances. It plots the columns as shares of their limits to image.
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
		return fmt.Errorf("%s: at least two rows of samples are needed", path)
	}
	rows = rows[1:]
	p := plot.New()
	p.Title.Text = "control per instance, as a share of its limit"
	p.X.Label.Text, p.Y.Label.Text = "instances", "share of limit"
	var lines []any
	fmt.Println("column,offset,slope_per_instance,rms_error,at_390,limit")
	for _, c := range columns {
		xs, ys := columnValues(rows, 0), columnValues(rows, c.index)
		offset, slope := stat.LinearRegression(xs, ys, nil, false)
		fmt.Printf("%s,%.4g,%.4g,%.3g,%.4g,%.4g\n", c.name, offset, slope, rmsError(xs, ys, offset, slope), offset+slope*targetInstances, c.limit)
		if c.limit > 0 {
			lines = append(lines, c.name, points(xs, ys, c.limit))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, image)
}

func columnValues(rows [][]string, index int) []float64 {
	vs := make([]float64, len(rows))
	for i, row := range rows {
		vs[i], _ = strconv.ParseFloat(row[index], 64)
	}
	return vs
}

func rmsError(xs, ys []float64, offset, slope float64) float64 {
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
