package strictyaml

import (
	"bytes"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// parse returns the one mapping of the text, or nil after it reported why not.
func (d *Document) parse(raw []byte) ast.Node {
	if p, message := checkLines(raw); message != "" {
		d.add(Fault{Line: p.line, Column: p.column, Key: "document", Message: message})
		return nil
	}
	tokens := lexer.Tokenize(string(raw))
	if t, message := checkShape(tokens); t != nil {
		p := placeOfToken(t)
		d.add(Fault{Line: p.line, Column: p.column, Key: "document", Message: message})
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.add(syntaxFault(err))
		return nil
	}
	return d.body(file)
}

func (d *Document) body(file *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil || doc.Body.Type() == ast.CommentType:
		case body != nil:
			d.fail("", doc.Body, "is a second document; want one in a file")
			return body
		default:
			body = doc.Body
		}
	}
	if body == nil {
		d.add(Fault{Line: 1, Column: 1, Key: "document", Message: "is empty"})
	}
	return body
}

func syntaxFault(err error) Fault {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return Fault{Line: 1, Column: 1, Key: "document", Message: "is no YAML: " + err.Error()}
	}
	p := placeOfToken(syntax.GetToken())
	return Fault{Line: max(p.line, 1), Column: max(p.column, 1), Key: "document", Message: "is no YAML: " + syntax.GetMessage()}
}

// blockText matches the header of a block scalar at the end of a line.
var blockText = regexp.MustCompile(`(^|\s)[|>][-+0-9]*[ ]*(#.*)?$`)

// checkLines returns the place of the first thing in the text that is refused
// before the lexer sees it, and why. The lexer's time grows with the square of
// the blank lines in a block scalar and of the tabs in a quoted
// one; no key wants either.
func checkLines(raw []byte) (at place, message string) {
	number := 0
	for line := range bytes.Lines(raw) {
		number++
		line = bytes.TrimRight(line, "\r\n")
		if i := bytes.IndexByte(line, '\t'); i >= 0 {
			return place{line: number, column: i + 1}, "has a tab; use blanks"
		}
		if bytes.HasPrefix(bytes.TrimLeft(line, " "), []byte("#")) {
			continue
		}
		if i := blockText.FindIndex(line); i != nil {
			return place{line: number, column: i[0] + 2}, "block text (| or >) is not taken; write it in quotes on one line"
		}
	}
	return place{}, ""
}
