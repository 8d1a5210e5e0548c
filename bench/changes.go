package main

import (
	"time"

	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/fleet"
)

// changeLoad holds the fleet sizes and changes of a control plane measurement.
type changeLoad struct {
	sizes       []int
	processSize int
	changes     int
	shape       fleet.Shape
	spacing     time.Duration
	timeout     time.Duration
}

// flags defines the options. changes and spacing are the defaults of the measurement.
func (l *changeLoad) flags(f *pflag.FlagSet, changes int, spacing time.Duration) {
	f.IntSliceVar(&l.sizes, "sizes", []int{12, 50, 200}, "daemons in one process")
	f.IntVar(&l.processSize, "processes", 12, "daemons of the run with one process for each daemon; 0 for none")
	f.IntVar(&l.changes, "changes", changes, "number of changes, made one at a time")
	shapeFlags(f, &l.shape)
	f.DurationVar(&l.spacing, "spacing", spacing, "pause between changes")
	f.DurationVar(&l.timeout, "timeout", 20*time.Second, "longest wait for one change")
}

// shapeFlags defines the options for the size of the manifest.
func shapeFlags(f *pflag.FlagSet, shape *fleet.Shape) {
	f.IntVar(&shape.Services, "services", 40, "services of the manifest")
	f.IntVar(&shape.Routes, "routes", 200, "routes of the manifest")
}
