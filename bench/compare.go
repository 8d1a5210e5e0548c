package main

import (
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/bench/report"
)

func newCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A.json B.json",
		Short: "Print the figures of two runs side by side",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.Load(args[0])
			if err != nil {
				return err
			}
			b, err := report.Load(args[1])
			if err != nil {
				return err
			}
			return report.Compare(cmd.OutOrStdout(), a, b)
		},
	}
}
