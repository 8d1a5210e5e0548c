package main

import (
	"time"

	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/fleet"
)

// changeLoad is the fleets and changes of a measurement of control.
type changeLoad struct {
	sizes       []int
	processSize int
	changes     int
	shape       fleet.Shape
	spacing     time.Duration
	timeout     time.Duration
}

// flags defines the options; changes and spacing are those that each measurement has its
// own default for.
func (l *changeLoad) flags(f *pflag.FlagSet, changes int, spacing time.Duration) {
	f.IntSliceVar(&l.sizes, "sizes", []int{12, 50, 200}, "daemons in one process")
	f.IntVar(&l.processSize, "processes", 12, "daemons of the run with a process each; 0 for none")
	f.IntVar(&l.changes, "changes", changes, "changes, one at a time")
	shapeFlags(f, &l.shape)
	f.DurationVar(&l.spacing, "spacing", spacing, "rest between changes")
	f.DurationVar(&l.timeout, "timeout", 20*time.Second, "longest wait for one change")
}

// shapeFlags defines the options of the manifest.
func shapeFlags(f *pflag.FlagSet, shape *fleet.Shape) {
	f.IntVar(&shape.Services, "services", 40, "services of the manifest")
	f.IntVar(&shape.Routes, "routes", 200, "routes of the manifest")
}
