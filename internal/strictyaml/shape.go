package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// The bounds of a document's shape. They are held on the tokens, before the
// parser runs: it calls itself once a level, and its time grows with the square
// of the keys of one mapping (18 s for 100,000) and of the documents.
const (
	maxDepth = 32
	maxKeys  = 256
)

// level is one collection that is open at a token.
type level struct {
	// column is that of a block collection, or inFlow.
	column int
	// keys counts the keys read of a mapping.
	keys int
}

const inFlow = 0

// shape follows the open collections through the tokens of a text. It counts
// block collections by their growing columns, flow collections by their
// brackets, and each prefix (anchor, tag, "? ") as a level, which counts too
// many rather than too few.
type shape struct {
	levels   []level
	flow     int
	prefixes int
	// headers and ends count the marks between documents.
	headers, ends int
}

// checkShape returns the first token beyond the bounds, and which bound it is.
func checkShape(tokens token.Tokens) (*token.Token, string) {
	var s shape
	for i, t := range tokens {
		keys := 0
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			s.flow++
			s.levels = append(s.levels, level{column: inFlow})
		case token.SequenceEndType, token.MappingEndType:
			s.closeFlow()
		case token.AnchorType, token.TagType, token.MappingKeyType:
			s.prefixes++
		case token.DocumentHeaderType:
			s.headers++
		case token.DocumentEndType:
			s.ends++
		case token.DirectiveType:
			return t, "directives are not taken"
		case token.SequenceEntryType:
			if s.flow > 0 {
				return t, "a \"- \" entry is not taken within brackets"
			}
			s.prefixes = 0
			s.enter(t.Position.Column)
		case token.MappingValueType:
			s.prefixes = 0
			s.enter(tokens[max(i-1, 0)].Position.Column)
			top := &s.levels[len(s.levels)-1]
			top.keys++
			keys = top.keys
		}
		if len(s.levels)+s.prefixes > maxDepth {
			return t, "is nested too deep"
		}
		if s.headers > 1 || s.ends > 1 {
			return t, "is followed by a second document; want one in a file"
		}
		if keys > maxKeys {
			return t, fmt.Sprintf("a mapping has more than %d keys", maxKeys)
		}
	}
	return nil, ""
}

// enter leaves the block collections right of column and opens one there, unless
// it is open. Within a flow collection columns mean nothing.
func (s *shape) enter(column int) {
	if s.flow > 0 {
		return
	}
	for len(s.levels) > 0 && s.top().column > column {
		s.levels = s.levels[:len(s.levels)-1]
	}
	if len(s.levels) == 0 || s.top().column < column {
		s.levels = append(s.levels, level{column: column})
	}
}

func (s *shape) closeFlow() {
	if s.flow == 0 {
		return
	}
	s.flow--
	s.levels = s.levels[:len(s.levels)-1]
}

func (s *shape) top() level { return s.levels[len(s.levels)-1] }
