package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// maxListed is the maximum number of known names in a message.
const maxListed = 12

// Suggest returns a message with the known name most similar to got, or with a list of
// the known names if none is similar. It returns "" if known is empty.
func Suggest(got string, known []string) string {
	if best, ok := mostSimilar(got, known); ok {
		return fmt.Sprintf("did you mean %q?", best)
	}
	if len(known) == 0 {
		return ""
	}
	listed := slices.Clone(known)
	slices.Sort(listed)
	if len(listed) > maxListed {
		return fmt.Sprintf("known values are %s and %d more", strings.Join(listed[:maxListed], ", "), len(listed)-maxListed)
	}
	return "known values are " + strings.Join(listed, ", ")
}

// mostSimilar returns the known name with the smallest edit distance to got, ignoring
// case. The distance must be at most a third of the name's length, or 1.
func mostSimilar(got string, known []string) (string, bool) {
	best, minEdits := "", -1
	for _, name := range known {
		edits := editDistance(strings.ToLower(got), strings.ToLower(name))
		if edits > max(1, len(name)/3) {
			continue
		}
		if minEdits < 0 || edits < minEdits {
			best, minEdits = name, edits
		}
	}
	return best, minEdits >= 0
}

// editDistance returns the Levenshtein distance between a and b, in bytes, or
// maxNameLength if one of them is longer than that.
func editDistance(a, b string) int {
	if len(a) > maxNameLength || len(b) > maxNameLength {
		return maxNameLength
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
