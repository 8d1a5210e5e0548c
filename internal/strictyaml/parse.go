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

// parse returns the root node of the only document in the text. If there is none, it
// adds a fault and returns nil.
func (d *Document) parse(raw []byte) ast.Node {
	if p, message := checkLines(raw); message != "" {
		d.addFault(Fault{Line: p.line, Column: p.column, Key: "document", Message: message})
		return nil
	}
	tokens := lexer.Tokenize(string(raw))
	if t, message := checkShape(tokens); t != nil {
		p := tokenPosition(t)
		d.addFault(Fault{Line: p.line, Column: p.column, Key: "document", Message: message})
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addFault(syntaxFault(err))
		return nil
	}
	return d.singleBody(file)
}

// singleBody returns the body of the only document in the file. Empty documents are
// ignored.
func (d *Document) singleBody(file *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil || doc.Body.Type() == ast.CommentType:
		case body != nil:
			d.rejectValue("", doc.Body, "is a second document; want one per file")
			return body
		default:
			body = doc.Body
		}
	}
	if body == nil {
		d.addFault(Fault{Line: 1, Column: 1, Key: "document", Message: "is empty"})
	}
	return body
}

func syntaxFault(err error) Fault {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return Fault{Line: 1, Column: 1, Key: "document", Message: "is not valid YAML: " + err.Error()}
	}
	p := tokenPosition(syntax.GetToken())
	return Fault{Line: max(p.line, 1), Column: max(p.column, 1), Key: "document", Message: "is not valid YAML: " + syntax.GetMessage()}
}

// blockScalar matches the header of a block scalar at the end of a line.
var blockScalar = regexp.MustCompile(`(^|\s)[|>][-+0-9]*[ ]*(#.*)?$`)

// checkLines returns the position of the first tab or block scalar, and a message. Both
// are rejected before lexing, because the lexer's time grows with the square of the
// number of blank lines in a block scalar and of tabs in a quoted scalar. No key needs
// either.
func checkLines(raw []byte) (at position, message string) {
	number := 0
	for line := range bytes.Lines(raw) {
		number++
		line = bytes.TrimRight(line, "\r\n")
		if i := bytes.IndexByte(line, '\t'); i >= 0 {
			return position{line: number, column: i + 1}, "has a tab; use spaces"
		}
		if bytes.HasPrefix(bytes.TrimLeft(line, " "), []byte("#")) {
			continue
		}
		if i := blockScalar.FindIndex(line); i != nil {
			return position{line: number, column: i[0] + 2}, "block scalars (| or >) are not supported; write the value in quotes on one line"
		}
	}
	return position{}, ""
}
