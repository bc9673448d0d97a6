// Package settings reads and checks the TOML files with the addresses, the data
// centre and the limits of each program.
//
// Every problem in a file is reported, not just the first, with the file, the
// line, the key and the allowed values:
//
//	entry.toml:3: dataCentre: missing: allowed is a text such as "lj-a"
//	entry.toml:9: platform.timeoutMillis: is 0: allowed is a whole number from 1 to 60000
//
// The forms in edge.go, entry.go and steward.go describe each key by struct tags.
// The check of a file (walk.go) and the reference in docs/OPERATORS.md
// (reference.go) are both derived from these tags, so the two can't differ.
package settings

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// Problem is one problem in a settings file.
type Problem struct {
	file    string
	line    int
	key     string
	message string
}

// File returns the name of the file.
func (problem Problem) File() string { return problem.file }

// Line returns the line of the key, or of its table if the key is missing.
func (problem Problem) Line() int { return problem.line }

// Key returns the dotted key, as in "platform.timeoutMillis".
func (problem Problem) Key() string { return problem.key }

// Message returns the problem and the allowed values.
func (problem Problem) Message() string { return problem.message }

// String returns the problem as one line.
func (problem Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", problem.file, problem.line, problem.key, problem.message)
}

// Error lists every problem in a settings file.
type Error struct {
	problems []Problem
}

// Problems returns the problems in the order of the checks.
func (err *Error) Problems() []Problem { return err.problems }

func (err *Error) Error() string {
	lines := make([]string, 0, len(err.problems))
	for _, problem := range err.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// document is one file with the positions of its keys. The tables of an array
// are distinguished by their index, as in "clientAccounts[1].name".
type document struct {
	file     string
	lines    map[string]int
	problems []Problem
}

// decode fills the form from the data, with defaults for missing keys, and
// returns the document for checks across keys.
func decode(file string, data []byte, form any) *document {
	document := &document{file: file, lines: map[string]int{}}
	if len(data) > maxFileBytes {
		document.report("size", fmt.Sprintf("is %d bytes: allowed is at most %d", len(data), maxFileBytes))
		return document
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		document.reportSyntax(err)
		return document
	}
	document.lines = keyLines(data)
	walk(document, form, values)
	return document
}

func (document *document) reportSyntax(err error) {
	line, message := 1, strings.TrimPrefix(err.Error(), "toml: ")
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	document.reportAt(line, "syntax", message)
}

func (document *document) reportAt(line int, key, message string) {
	document.problems = append(document.problems, Problem{file: document.file, line: line, key: key, message: message})
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// report adds a problem at the line of the key, or of the nearest table.
func (document *document) report(key, message string) {
	document.reportAt(document.line(key), arrayIndex.ReplaceAllString(key, ""), message)
}

func (document *document) line(key string) int {
	for {
		if line, ok := document.lines[key]; ok {
			return line
		}
		end := strings.LastIndexAny(key, ".[")
		if end < 0 {
			return 1
		}
		key = key[:end]
	}
}

func (document *document) err() error {
	if len(document.problems) == 0 {
		return nil
	}
	return &Error{problems: document.problems}
}

// keyLines returns the line of each dotted key.
func keyLines(data []byte) map[string]int {
	lines, tableCounts := map[string]int{}, map[string]int{}
	parser := &unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		parts, line := keyOf(parser, expression)
		switch expression.Kind {
		case unstable.ArrayTable:
			name := indexed(parts[:len(parts)-1], tableCounts, parts[len(parts)-1])
			table := fmt.Sprintf("%s[%d]", name, tableCounts[name])
			tableCounts[name]++
			lines[table], prefix = line, table+"."
		case unstable.Table:
			name := indexed(parts[:len(parts)-1], tableCounts, parts[len(parts)-1])
			lines[name], prefix = line, name+"."
		case unstable.KeyValue:
			lines[prefix+strings.Join(parts, ".")] = line
		default:
		}
	}
	return lines
}

// indexed joins the parts of a table's name. A part that names an array of tables
// refers to its latest table.
func indexed(parts []string, tableCounts map[string]int, last string) string {
	name := ""
	for _, part := range parts {
		name += part
		if count := tableCounts[name]; count > 0 {
			name += fmt.Sprintf("[%d]", count-1)
		}
		name += "."
	}
	return name + last
}

func keyOf(parser *unstable.Parser, expression *unstable.Node) (parts []string, line int) {
	for keys := expression.Key(); keys.Next(); {
		node := keys.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return parts, line
}
