package jsonfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// MaxSizeBytes is the greatest size of a file: the largest value that the
// key-value service accepts.
const MaxSizeBytes = 1 << 20

// MaxDepth is the greatest nesting depth of values. Settings and team documents
// need at most six levels; the limit keeps a hostile document from exhausting the
// stack.
const MaxDepth = 32

type kind int

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindList
	kindObject
)

// node is a JSON value with its path.
type node struct {
	path    string
	kind    kind
	boolean bool
	text    string // of a string or number
	items   []*node
	members []member
}

type member struct {
	name  string
	value *node
}

// describeFound describes the value, short enough for one line.
func (n *node) describeFound() string {
	const maxTextBytes = 60
	switch n.kind {
	case kindBool:
		return strconv.FormatBool(n.boolean)
	case kindNumber:
		return n.text
	case kindString:
		if len(n.text) > maxTextBytes {
			return fmt.Sprintf("%q... (%d bytes)", n.text[:maxTextBytes], len(n.text))
		}
		return strconv.Quote(n.text)
	case kindList:
		return fmt.Sprintf("a list of %d", len(n.items))
	case kindObject:
		return "an object"
	default:
		return "null"
	}
}

// parse returns the root value of a file, or nil after it has added the fault
// that prevents parsing. A duplicate member is a fault; the first one is used.
func parse(data []byte, faults *Faults) *node {
	if len(data) > MaxSizeBytes {
		faults.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSizeBytes))
		return nil
	}
	if !utf8.Valid(data) {
		// encoding/json would silently replace the bytes, so that the name in
		// use would differ from the name in the file.
		faults.Add(lineAndColumn(data, invalidUTF8(data)), "bytes that are not UTF-8", "UTF-8")
		return nil
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		faults.Add(lineAndColumn(data, syntaxOffset(err, len(data))), err.Error(), "one JSON object")
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	p := parser{
		decoder: decoder,
		faults:  faults,
	}
	root, err := p.parseValue("", 0)
	if err != nil {
		faults.Add(lineAndColumn(data, int(decoder.InputOffset())), err.Error(), "one JSON object")
		return nil
	}
	return root
}

func syntaxOffset(err error, size int) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		return int(syntax.Offset) - 1
	}
	return size
}

func invalidUTF8(data []byte) int {
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return offset
}

// lineAndColumn formats the line and column of an offset, both counted from 1.
func lineAndColumn(data []byte, offset int) string {
	before := data[:min(max(offset, 0), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	start := bytes.LastIndexByte(before, '\n') + 1
	return fmt.Sprintf("line %d, column %d", line, utf8.RuneCount(before[start:])+1)
}

type parser struct {
	decoder *json.Decoder
	faults  *Faults
}

func (p *parser) parseValue(path string, depth int) (*node, error) {
	if depth > MaxDepth {
		return nil, errors.Errorf("more than %d nested values", MaxDepth)
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	result := &node{
		path: path,
	}
	switch token := token.(type) {
	case bool:
		result.kind, result.boolean = kindBool, token
	case json.Number:
		result.kind, result.text = kindNumber, token.String()
	case string:
		result.kind, result.text = kindString, token
	case json.Delim:
		if token == '[' {
			return result, p.parseList(result, depth)
		}
		return result, p.parseObject(result, depth)
	}
	return result, nil
}

func (p *parser) parseList(into *node, depth int) error {
	into.kind = kindList
	for p.decoder.More() {
		item, err := p.parseValue(ItemPath(into.path, len(into.items)), depth+1)
		if err != nil {
			return err
		}
		into.items = append(into.items, item)
	}
	_, err := p.decoder.Token()
	return errors.WithStack(err)
}

func (p *parser) parseObject(into *node, depth int) error {
	into.kind = kindObject
	seen := make(map[string]bool)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return errors.WithStack(err)
		}
		name, _ := token.(string) // a member's name is always a string
		value, err := p.parseValue(MemberPath(into.path, name), depth+1)
		if err != nil {
			return err
		}
		if seen[name] {
			p.faults.Add(value.path, "the member twice", "each member once")
			continue
		}
		seen[name] = true
		into.members = append(into.members, member{
			name:  name,
			value: value,
		})
	}
	_, err := p.decoder.Token()
	return errors.WithStack(err)
}
