package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// The limits of a document's structure. They are checked on the tokens, before parsing,
// because the parser recurses once per nesting level, and its time grows with the square
// of the number of keys in a mapping (18 s for 100,000 keys) and of the number of
// documents.
const (
	maxDepth = 32
	maxKeys  = 256
)

// openCollection is a mapping or sequence that is open at the current token.
type openCollection struct {
	// column is the column of a block collection, or flowColumn.
	column int
	// keys is the number of keys of a mapping so far.
	keys int
}

// flowColumn is the column of every flow collection.
const flowColumn = 0

// shapeChecker tracks the open collections while it visits the tokens of a text. It
// recognizes nested block collections by increasing columns and flow collections by
// their brackets. It counts each prefix (anchor, tag, "? ") as a level, which may
// overestimate the depth but never underestimates it.
type shapeChecker struct {
	// open are the open collections, outermost first.
	open []openCollection
	// flowDepth is the number of open flow collections.
	flowDepth int
	prefixes  int
	// headers and ends count the document start and end markers.
	headers, ends int
}

// checkShape returns the first token that exceeds a limit or is not supported, and a
// message. It returns nil if there is none.
func checkShape(tokens token.Tokens) (*token.Token, string) {
	var s shapeChecker
	for i, t := range tokens {
		keys := 0
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			s.flowDepth++
			s.open = append(s.open, openCollection{column: flowColumn})
		case token.SequenceEndType, token.MappingEndType:
			s.closeFlow()
		case token.AnchorType, token.TagType, token.MappingKeyType:
			s.prefixes++
		case token.DocumentHeaderType:
			s.headers++
		case token.DocumentEndType:
			s.ends++
		case token.DirectiveType:
			return t, "directives are not supported"
		case token.SequenceEntryType:
			if s.flowDepth > 0 {
				return t, "a \"- \" entry is not supported within brackets"
			}
			s.prefixes = 0
			s.openBlock(t.Position.Column)
		case token.MappingValueType:
			s.prefixes = 0
			s.openBlock(tokens[max(i-1, 0)].Position.Column)
			top := &s.open[len(s.open)-1]
			top.keys++
			keys = top.keys
		}
		if len(s.open)+s.prefixes > maxDepth {
			return t, "is nested too deep"
		}
		if s.headers > 1 || s.ends > 1 {
			return t, "is followed by a second document; want one per file"
		}
		if keys > maxKeys {
			return t, fmt.Sprintf("a mapping has more than %d keys", maxKeys)
		}
	}
	return nil, ""
}

// openBlock closes the block collections to the right of column and opens one at column,
// unless it is already open. Within a flow collection, columns have no meaning, and
// openBlock does nothing.
func (s *shapeChecker) openBlock(column int) {
	if s.flowDepth > 0 {
		return
	}
	for len(s.open) > 0 && s.top().column > column {
		s.open = s.open[:len(s.open)-1]
	}
	if len(s.open) == 0 || s.top().column < column {
		s.open = append(s.open, openCollection{column: column})
	}
}

func (s *shapeChecker) closeFlow() {
	if s.flowDepth == 0 {
		return
	}
	s.flowDepth--
	s.open = s.open[:len(s.open)-1]
}

func (s *shapeChecker) top() openCollection { return s.open[len(s.open)-1] }
