package operatorcli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/table"
)

// ExitStatus is the exit status of sapphirectl. Scripts rely on the numbers.
type ExitStatus int

// The exit statuses.
const (
	ExitOK ExitStatus = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitInvalid
	ExitUnknown
	ExitNotActive
	ExitUnreachable
	ExitRefused
)

// Statuses returns every exit status with its meaning.
func Statuses() []string {
	return []string{
		ExitOK:          "done",
		ExitFailed:      "failed",
		ExitUsage:       "wrong usage",
		ExitConflict:    "conflict: another operator changed the row",
		ExitInvalid:     "the tables or the file are not valid",
		ExitUnknown:     "outcome unknown: the edit may have been committed",
		ExitNotActive:   "committed, but not in force everywhere in time",
		ExitUnreachable: "no answer from the entry host, nothing was changed",
		ExitRefused:     "the entry host refused the token",
	}
}

func statusesText() string {
	parts := make([]string, 0, len(Statuses()))
	for status, meaning := range Statuses() {
		parts = append(parts, fmt.Sprintf("%d %s", status, meaning))
	}
	return strings.Join(parts, "; ") + "."
}

// UsageError says that the command line can't be carried out.
type UsageError struct {
	message string
}

func newUsageError(message string) *UsageError { return &UsageError{message: message} }

func (err *UsageError) Error() string { return err.message }

// InvalidError says that a file is not valid.
type InvalidError struct {
	file  string
	cause error
}

// Unwrap returns the cause.
func (err *InvalidError) Unwrap() error { return err.cause }

func (err *InvalidError) Error() string {
	return err.file + " is not valid:\n" + err.cause.Error()
}

// UnknownOutcomeError says that an edit was sent, up to maxSends times, and that no
// response showed whether it was committed.
type UnknownOutcomeError struct {
	editID string
	cause  error
}

// Unwrap returns the last cause.
func (err *UnknownOutcomeError) Unwrap() error { return err.cause }

func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of edit %s is unknown: %v", err.editID, err.cause)
}

// NotActiveError says that a committed version did not become active on every node in
// time.
type NotActiveError struct {
	version int64
	active  int
	total   int
}

func (err *NotActiveError) Error() string {
	return fmt.Sprintf("version %d is committed but in force on %d of %d nodes only", err.version, err.active, err.total)
}

// Types of errors of the operators' API.
const (
	kindConflict     = "conflict"
	kindInvalid      = "invalid"
	kindUnknown      = "outcomeUnknown"
	kindUnauthorized = "unauthorized"
	kindForbidden    = "forbidden"
	kindUnavailable  = "platformUnavailable"
)

// StatusOf returns the exit status for the error of a command.
func StatusOf(err error) ExitStatus {
	var usage *UsageError
	var invalid *InvalidError
	var check *table.CheckError
	var unknown *UnknownOutcomeError
	var notActive *NotActiveError
	var unreachable *operatorhttp.UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &invalid), errors.As(err, &check):
		return ExitInvalid
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &notActive):
		return ExitNotActive
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return statusOfKind(kindOf(err))
	}
}

func statusOfKind(kind string) ExitStatus {
	switch kind {
	case kindConflict:
		return ExitConflict
	case kindInvalid:
		return ExitInvalid
	case kindUnauthorized, kindForbidden:
		return ExitRefused
	default:
		return ExitFailed
	}
}

func kindOf(err error) string {
	var refused *operatorhttp.RefusedError
	if errors.As(err, &refused) {
		return refused.Kind()
	}
	return ""
}

// Advice returns a next step for the operator, or an empty string.
func Advice(err error) string {
	switch StatusOf(err) {
	case ExitUsage:
		return "sapphirectl --help lists the commands, sapphirectl COMMAND --help has an example"
	case ExitConflict:
		return "read the row again (routes get, pools get), or use diff, and repeat the command"
	case ExitInvalid:
		return "correct each named field; sapphirectl check -f FILE checks a file without changing anything"
	case ExitUnknown:
		return "run the same command again with the same --edit-id: it changes nothing if it was already committed"
	case ExitNotActive:
		return "the edit is committed and still being passed on; sapphirectl status shows which node lacks it"
	case ExitUnreachable:
		return "try another entry host with --address"
	case ExitRefused:
		return "give a token of the settings' operator.tokens whose role allows the command"
	}
	if kindOf(err) == kindUnavailable {
		return "the platform is down: the tables in force stay; repeat the command once it is back"
	}
	return ""
}
