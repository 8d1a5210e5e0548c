package membership_test

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks limits the number of property-based test cases in CI. The flag
// -rapid.checks overrides it.
const defaultChecks = "20"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
