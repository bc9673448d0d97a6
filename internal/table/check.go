package table

import (
	"fmt"
	"strings"
)

// Problem is one invalid field of one row.
type Problem struct {
	row     string
	field   string
	message string
}

// NewProblem returns a problem with the field of the row.
func NewProblem(row, field, message string) Problem {
	return Problem{row: row, field: field, message: message}
}

// Row returns the name of the row, as in "route/desk".
func (problem Problem) Row() string { return problem.row }

// Field returns the name of the field in the encoded tables.
func (problem Problem) Field() string { return problem.field }

// Message returns the fault and the allowed values.
func (problem Problem) Message() string { return problem.message }

// CheckError reports all problems of the tables.
type CheckError struct {
	problems []Problem
}

// NewCheckError returns an error with the problems.
func NewCheckError(problems []Problem) *CheckError { return &CheckError{problems: problems} }

// Problems returns the problems in order of row.
func (err *CheckError) Problems() []Problem { return err.problems }

func (err *CheckError) Error() string {
	lines := make([]string, 0, len(err.problems))
	for _, problem := range err.problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", problem.row, problem.field, problem.message))
	}
	return strings.Join(lines, "\n")
}
