package runnerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
)

// transferForm identifies a stream at a server.
type transferForm struct {
	From     string `json:"from,omitempty"`
	StreamID string `json:"streamId"`
}

// transfer makes the attempt's server fetch the KV cache of a stream from the
// leaving server, and returns the id by which the stream continues there. Errors
// are *runner.AttemptError. After an error it is unknown whether the leaving server
// still has the KV cache, so the flow continues without it.
func (client *Client) transfer(ctx context.Context, attempt request.Attempt) (string, error) {
	body, err := json.Marshal(transferForm{From: attempt.From().Address(), StreamID: attempt.StreamID()})
	if err != nil {
		return "", runner.NewAttemptError(request.CauseNotSent, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Server().Address()+"/v1/kv", bytes.NewReader(body))
	if err != nil {
		return "", runner.NewAttemptError(request.CauseNotSent, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := client.connections.client(attempt.Server().Address()).Do(httpRequest)
	if err != nil {
		return "", runner.NewAttemptError(errorCause(err), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", runner.NewAttemptError(request.CauseGone, errors.Errorf("transfer: status %s", response.Status))
	}
	var form transferForm
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&form); err != nil || form.StreamID == "" {
		return "", runner.NewAttemptError(request.CauseInvalid, errors.Errorf("transfer: the response has no stream id: %v", err))
	}
	return form.StreamID, nil
}
