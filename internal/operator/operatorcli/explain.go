package operatorcli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"sapphirehead/internal/incident"
)

// ExplainCommand explains the end of a request from log files.
type ExplainCommand struct {
	ID   string   `arg:"" name:"request-id" help:"Id of the request (X-Request-Id)."`
	Logs []string `arg:"" name:"log" help:"Log files of the nodes." type:"existingfile"`
}

type explanationJSON struct {
	RequestID string   `json:"requestId"`
	Host      string   `json:"host"`
	Status    int      `json:"status"`
	Cause     string   `json:"cause"`
	Because   string   `json:"because"`
	Evidence  []string `json:"evidence"`
}

// Run prints the explanation.
func (command *ExplainCommand) Run(session *Session) error {
	var logs []io.Reader
	for _, name := range command.Logs {
		log, err := os.ReadFile(name)
		if err != nil {
			return newUsageError(err.Error())
		}
		logs = append(logs, bytes.NewReader(log))
	}
	explanation, err := incident.Explain(command.ID, logs...)
	if err != nil {
		return err
	}
	form := explanationJSON{
		RequestID: explanation.ID(), Host: explanation.Host(), Status: explanation.Status(),
		Cause: explanation.Cause().String(), Because: explanation.Reason(), Evidence: []string{},
	}
	for _, line := range explanation.Evidence() {
		form.Evidence = append(form.Evidence, line.Text())
	}
	if done, err := session.json(form); done {
		return err
	}
	fmt.Fprintf(session.output, "request %s at %s: %d, %s\n  %s\n", form.RequestID, form.Host, form.Status, form.Cause, form.Because)
	for _, text := range form.Evidence {
		fmt.Fprintf(session.output, "  %s\n", text)
	}
	return nil
}
