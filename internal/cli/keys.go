package cli

import (
	"crypto/rand"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// newKey is the output of keys new.
type newKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

func newKeys() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Create API keys of organisations",
	}
	cmd.AddCommand(newKeysNew())
	return cmd
}

func newKeysNew() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "new",
		Short: "Print a random API key and its digest",
		Long: `Prints a random API key and its digest, without contacting a daemon.

Give the key to the organisation, and list the digest under key_digests of the
organisation in the manifest. The key itself is needed nowhere else.`,
		Example: "  daisygate keys new -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			key := rand.Text()
			k := newKey{Key: key, Digest: manifest.DigestKey(key).String()}
			return out.print(cmd.OutOrStdout(), k, func(w io.Writer) {
				fmt.Fprintf(w, "key     %s\ndigest  %s\n", k.Key, k.Digest)
			})
		},
	}
	out.flags(cmd)
	return cmd
}
