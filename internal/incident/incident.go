// Package incident explains the end of a request from the logs of the nodes.
//
// It starts from the log line of the request's end and the line of its last
// attempt. For a failed or lost response it also looks for lines of the same node
// that report the backend server as leaving or gone.
//
//	request 22012ec6: 503, tooLate
//	  the expected first event was 579 ms away, with 16267 prompt tokens to read
package incident

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Status codes that nodes log for responses without one.
const (
	statusCallerLeft = 499
	statusBroken     = 599
)

// NotFoundError reports that the logs contain no line of the request's end.
type NotFoundError struct{ id string }

// ID returns the id of the request.
func (err *NotFoundError) ID() string { return err.id }

func (err *NotFoundError) Error() string {
	return fmt.Sprintf("no line ends the request %q: the logs miss its node or its time", err.id)
}

// Explanation is the cause of a request's end, with the lines that show it.
type Explanation struct {
	id       string
	end      Line
	cause    Cause
	reason   string
	evidence []Line
}

// ID returns the id of the request.
func (explanation Explanation) ID() string { return explanation.id }

// Host returns the host of the node that served the request.
func (explanation Explanation) Host() string { return explanation.end.host }

// Status returns the status of the response.
func (explanation Explanation) Status() int { return explanation.end.status }

// Cause returns the cause.
func (explanation Explanation) Cause() Cause { return explanation.cause }

// Reason returns the values that led to the cause, as a sentence.
func (explanation Explanation) Reason() string { return explanation.reason }

// Evidence returns the lines that show the cause, in the order of the logs.
func (explanation Explanation) Evidence() []Line { return explanation.evidence }

// Explain reads logs and explains the end of the request. Errors:
// *NotFoundError, and those of reading.
func Explain(id string, logs ...io.Reader) (Explanation, error) {
	var requestLines, serverLines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parseLine(scanner.Bytes())
			switch {
			case !ok:
			case line.requestID == id:
				requestLines = append(requestLines, line)
			case line.requestID == "" && line.server != "":
				serverLines = append(serverLines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Explanation{}, errors.Wrap(err, "read a log")
		}
	}
	for _, line := range requestLines {
		if line.message == "request" {
			return explain(id, line, requestLines, serverLines), nil
		}
	}
	return Explanation{}, &NotFoundError{id: id}
}

func explain(id string, end Line, requestLines, serverLines []Line) Explanation {
	explanation := Explanation{id: id, end: end, evidence: requestLines}
	last := lastAttempt(requestLines)
	switch {
	case end.status < http.StatusBadRequest:
		explanation.cause = CauseNone
		explanation.reason = "the answer was passed on"
	case end.status == statusCallerLeft:
		explanation.cause, explanation.reason = CauseCallerLeft, "the caller closed its connection"
	case end.status == http.StatusTooManyRequests:
		explanation.cause, explanation.reason = CauseOverLimit, end.reason
	case end.status == http.StatusServiceUnavailable:
		explanation.explainRefusal(end, last)
	case end.status < http.StatusInternalServerError:
		explanation.cause, explanation.reason = CauseDenied, end.reason
	default:
		explanation.explainFailure(last, serverLines)
	}
	return explanation
}

// outcomeNoServer is the outcome of an attempt for which no server was available.
const outcomeNoServer = "noServer"

// lastAttempt returns the line of the last attempt's end, or an empty line. A last
// attempt that found no server counts only if it was the only one.
func lastAttempt(requestLines []Line) Line {
	var last Line
	for _, line := range requestLines {
		if line.message == "attempt ended" && (line.outcome != outcomeNoServer || last.message == "") {
			last = line
		}
	}
	return last
}

// explainRefusal explains why the request did not run.
func (explanation *Explanation) explainRefusal(end, last Line) {
	switch last.outcome {
	case "tooLate":
		explanation.cause = CauseTooLate
		explanation.reason = fmt.Sprintf("the expected first event was %.0f ms away, with %d prompt tokens to read", end.expected, end.reads)
	case "limited":
		explanation.cause, explanation.reason = CauseLimited, "the servers of the pool were at the limits that they named"
	case "quarantined":
		explanation.cause, explanation.reason = CauseQuarantined, "prompts with a part of this one crashed backend servers"
	case outcomeNoServer:
		explanation.cause, explanation.reason = CauseNoServer, "no server of the pool took requests"
	case "":
		explanation.cause, explanation.reason = CauseNodeUnready, end.reason
	default:
		explanation.cause = CauseFull
		explanation.reason = "the last server that was asked, " + last.server + ", did not run it: " + last.outcome
	}
}

// explainFailure explains a response that broke off, was lost or failed.
func (explanation *Explanation) explainFailure(last Line, serverLines []Line) {
	server, failure := last.server, ""
	for _, line := range explanation.evidence {
		if line.error != "" {
			failure = line.error
		}
	}
	var gone []Line
	for _, line := range serverLines {
		if line.host == explanation.end.host && line.server == server && server != "" && reportsServerGone(line) {
			gone = append(gone, line)
		}
	}
	switch {
	case last.leftMillis <= 0 && last.message != "", strings.Contains(failure, "i/o timeout"):
		explanation.cause = CauseTimeUp
		explanation.reason = "the time that the caller or the route gave was over while server " + server + " worked on it"
	case len(gone) > 0 && explanation.end.status == statusBroken:
		explanation.cause = CauseServerLeft
		explanation.reason = fmt.Sprintf("server %s: %s at %s", server, gone[0].message, gone[0].time)
		explanation.evidence = append(explanation.evidence, gone...)
	case failure == "":
		explanation.cause, explanation.reason = CauseServerFailed, "server "+server+" answered with a failure of its own"
	default:
		explanation.cause, explanation.reason = CauseServerBroke, "server "+server+": "+failure
	}
}

// reportsServerGone reports whether the line says that a server is leaving or
// gone.
func reportsServerGone(line Line) bool {
	return strings.HasPrefix(line.message, "backend server leaves") || strings.HasPrefix(line.message, "backend server gone")
}
