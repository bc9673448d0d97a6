// Package settings reads and checks the TOML files by which each program
// learns its addresses, its data centre and its limits.
//
// Every fault of a file is reported, not just the first, with file, line, key
// and what is allowed:
//
//	entry.toml:3: dataCentre: missing: a name such as "lj-a"
//	entry.toml:9: platform.timeoutMillis: is 0: allowed is 1 to 60000
package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Problem is one fault of a settings file.
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

// Message returns what is wrong and what is allowed.
func (problem Problem) Message() string { return problem.message }

// String returns the problem as one line.
func (problem Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", problem.file, problem.line, problem.key, problem.message)
}

// Error lists every fault of a settings file.
type Error struct {
	problems []Problem
}

// Problems returns the faults in order of the checks.
func (err *Error) Problems() []Problem { return err.problems }

func (err *Error) Error() string {
	lines := make([]string, 0, len(err.problems))
	for _, problem := range err.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// document is one file with the positions of its keys.
type document struct {
	file     string
	lines    map[string]int
	problems []Problem
}

// decode fills the form from the data and returns the document for checks.
func decode(file string, data []byte, form any) *document {
	document := &document{file: file, lines: keyLines(data)}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(form)
	var unknown *toml.StrictMissingError
	var faulty *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for _, missing := range unknown.Errors {
			line, _ := missing.Position()
			document.reportAt(line, strings.Join(missing.Key(), "."), "unknown key")
		}
	case errors.As(err, &faulty):
		line, _ := faulty.Position()
		key := strings.Join(faulty.Key(), ".")
		if key == "" {
			key = document.keyAt(line)
		}
		if key == "" {
			key = "syntax"
		}
		document.reportAt(line, key, strings.TrimPrefix(faulty.Error(), "toml: "))
	default:
		document.reportAt(1, "", err.Error())
	}
	return document
}

func (document *document) reportAt(line int, key, message string) {
	document.problems = append(document.problems, Problem{file: document.file, line: line, key: key, message: message})
}

// report adds a problem at the line of the key, or of the nearest table.
func (document *document) report(key, message string) {
	document.reportAt(document.line(key), key, message)
}

func (document *document) line(key string) int {
	for {
		if line, ok := document.lines[key]; ok {
			return line
		}
		end := strings.LastIndexByte(key, '.')
		if end < 0 {
			return 1
		}
		key = key[:end]
	}
}

func (document *document) keyAt(line int) string {
	for key, at := range document.lines {
		if at == line {
			return key
		}
	}
	return ""
}

func (document *document) err() error {
	if len(document.problems) == 0 {
		return nil
	}
	return &Error{problems: document.problems}
}

func (document *document) text(key, value, example string) {
	if value == "" {
		document.report(key, fmt.Sprintf("missing: a text such as %q", example))
	}
}

func (document *document) number(key string, value, low, high int64) {
	if value < low || value > high {
		document.report(key, fmt.Sprintf("is %d: allowed is %d to %d", value, low, high))
	}
}

func (document *document) address(key, value string) {
	colon := strings.LastIndexByte(value, ':')
	if colon <= 0 || colon == len(value)-1 {
		document.report(key, fmt.Sprintf("is %q: allowed is an IP number and a port such as \"127.0.0.1:7000\"", value))
	}
}

// keyLines returns the line of each dotted key. Rows of an array of tables
// share the key of the array; the last one counts.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	parser := &unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = key + "."
			lines[key] = line
		case unstable.KeyValue:
			lines[prefix+key] = line
		default:
		}
	}
	return lines
}

func keyOf(parser *unstable.Parser, expression *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for keys := expression.Key(); keys.Next(); {
		node := keys.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
