package main

import (
	"context"
	"slices"
)

// part is a part of a measurement that can be skipped.
type part struct {
	name    string
	measure func() error
}

// measureParts runs the parts in order, except those in skip.
func measureParts(ctx context.Context, skip []string, parts []part) error {
	for _, p := range parts {
		if slices.Contains(skip, p.name) {
			continue
		}
		if err := p.measure(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}
