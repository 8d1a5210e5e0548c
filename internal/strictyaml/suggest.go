package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// maxListed is how many known names a message lists.
const maxListed = 12

// Suggest names the known name nearest to got, or lists the known names if none
// is near. It returns "" if no name is known.
func Suggest(got string, known []string) string {
	if best, ok := nearest(got, known); ok {
		return fmt.Sprintf("did you mean %q?", best)
	}
	if len(known) == 0 {
		return ""
	}
	listed := slices.Clone(known)
	slices.Sort(listed)
	if len(listed) > maxListed {
		return fmt.Sprintf("known are %s and %d more", strings.Join(listed[:maxListed], ", "), len(listed)-maxListed)
	}
	return "known are " + strings.Join(listed, ", ")
}

// nearest returns the known name that the fewest edits away, at most a third of
// its length.
func nearest(got string, known []string) (string, bool) {
	best, least := "", -1
	for _, name := range known {
		edits := editDistance(strings.ToLower(got), strings.ToLower(name))
		if edits > max(1, len(name)/3) {
			continue
		}
		if least < 0 || edits < least {
			best, least = name, edits
		}
	}
	return best, least >= 0
}

// editDistance is the Levenshtein distance of a and b, in bytes.
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
