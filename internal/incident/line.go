package incident

import (
	"bytes"
	"encoding/json"
)

// Line is one line of a process's log, with the fields that an explanation
// needs.
type Line struct {
	host       string
	time       string
	message    string
	server     string
	requestID  string
	status     int
	reason     string
	outcome    string
	step       string
	error      string
	expected   float64
	reads      int
	leftMillis int64
	mayHaveRun bool
	text       string
}

type lineForm struct {
	Host       string  `json:"host"`
	Time       string  `json:"time"`
	Message    string  `json:"message"`
	Server     string  `json:"backendServer"`
	RequestID  string  `json:"requestId"`
	Status     int     `json:"status"`
	Reason     string  `json:"reason"`
	Outcome    string  `json:"outcome"`
	Step       string  `json:"step"`
	Error      string  `json:"error"`
	Expected   float64 `json:"expectedMillis"`
	Reads      int     `json:"reads"`
	LeftMillis int64   `json:"leftMillis"`
	MayHaveRun bool    `json:"mayHaveRun"`
}

// parseLine parses a log line. Text before the JSON object, such as a prefix
// from a log collector, is skipped. It reports false for a line without one.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var form lineForm
	if err := json.Unmarshal(data[start:], &form); err != nil || form.Message == "" {
		return Line{}, false
	}
	return Line{
		host: form.Host, time: form.Time, message: form.Message, server: form.Server, requestID: form.RequestID,
		status: form.Status, reason: form.Reason, outcome: form.Outcome, step: form.Step, error: form.Error,
		expected: form.Expected, reads: form.Reads, leftMillis: form.LeftMillis, mayHaveRun: form.MayHaveRun,
		text: string(bytes.TrimSpace(data[start:])),
	}, true
}

// Host returns the name of the host whose process wrote the line.
func (line Line) Host() string { return line.host }

// Time returns the time of day as logged.
func (line Line) Time() string { return line.time }

// Message returns the log message.
func (line Line) Message() string { return line.message }

// Server returns the id of the backend server that the line refers to, or
// empty.
func (line Line) Server() string { return line.server }

// Text returns the whole line.
func (line Line) Text() string { return line.text }
