package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// maxAnswerBytes bounds an answer of the operators' API.
const maxAnswerBytes = 16 << 20

// Client calls the operators' API of one entry host.
type Client struct {
	base    string
	token   string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
}

// NewClient returns a client for the host and port.
func NewClient(address, token string, clock *clock.Clock, timeout clock.Millis) *Client {
	return &Client{base: "http://" + address + "/admin/v1", token: token, clock: clock, timeout: timeout, http: &http.Client{}}
}

// RefusedError is an error that the operators' API answered.
type RefusedError struct {
	status  int
	kind    string
	message string
}

// Kind returns the type of the error, as in "conflict".
func (err *RefusedError) Kind() string { return err.kind }

// Status returns the HTTP status.
func (err *RefusedError) Status() int { return err.status }

func (err *RefusedError) Error() string { return fmt.Sprintf("%s: %s", err.kind, err.message) }

// Tables returns the tables as the platform stores them.
func (client *Client) Tables(ctx context.Context) (*table.Tables, error) {
	body, err := client.call(ctx, http.MethodGet, "/tables", nil)
	if err != nil {
		return nil, err
	}
	return tablecodec.DecodeJSON(body)
}

// Commit sends an edit and returns the version that it committed. An edit
// whose outcome is unknown may be sent again, as its id makes it idempotent.
func (client *Client) Commit(ctx context.Context, edit *table.Edit) (int64, error) {
	message, err := tablecodec.EncodeEditJSON(edit)
	if err != nil {
		return 0, err
	}
	body, err := client.call(ctx, http.MethodPost, "/edits", message)
	if err != nil {
		return 0, err
	}
	var form committedForm
	err = json.Unmarshal(body, &form)
	return form.Version, errors.Wrap(err, "decode answer")
}

// Status returns the report of the entry host.
func (client *Client) Status(ctx context.Context) (operator.Status, error) {
	body, err := client.call(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return operator.Status{}, err
	}
	var form statusForm
	if err := json.Unmarshal(body, &form); err != nil {
		return operator.Status{}, errors.Wrap(err, "decode status")
	}
	return form.status(), nil
}

func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	message.Header.Set("Authorization", "Bearer "+client.token)
	answer, err := client.http.Do(message)
	if err != nil {
		return nil, errors.Wrap(err, "call the entry host")
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refusal(answer.StatusCode, data)
	}
	return data, nil
}

func refusal(status int, data []byte) error {
	var form errorsForm
	if err := json.Unmarshal(data, &form); err != nil || form.Error.Type == "" {
		return &RefusedError{status: status, kind: http.StatusText(status), message: string(data)}
	}
	return &RefusedError{status: status, kind: form.Error.Type, message: form.Error.Message}
}
