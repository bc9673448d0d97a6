// Package runnerhttp is the HTTP client of model runners: the published
// chat-completions API with server-sent events, and the additional calls that
// docs/PROTOCOLS.md lists (resume and cancel of a stream, orders, load).
package runnerhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
)

// Names of headers in addition to the published API.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	HeaderStreamID  = "X-Stream-Id"
	HeaderLeaving   = "X-Leaving"
	HeaderRunning   = "X-Load-Running"
	HeaderQueued    = "X-Load-Queued"
	HeaderTokens    = "X-Load-Tokens"
)

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// maxFailureBytes bounds what is read of the body of a failure, for the log.
const maxFailureBytes = 1 << 10

// maxLineBytes bounds the length of one line of a stream, and of a response that is
// read whole.
const maxLineBytes = 1 << 20

// Client opens streams at model runners.
type Client struct {
	clock       *clock.Clock
	connections *connections
	// http is for calls that are not on the path of a request.
	http *http.Client
}

// New returns a client with a timeout on opening connections.
func New(clock *clock.Clock, connectTimeout clock.Millis) *Client {
	connections := newConnections(connectTimeout)
	return &Client{clock: clock, connections: connections, http: connections.newHTTPClient()}
}

// CloseIdle closes the idle connections to the server. Callers use it when one of
// the connections no longer responds.
func (client *Client) CloseIdle(server *backend.Server) { client.connections.reset(server.Address()) }

// Close closes all idle connections.
func (client *Client) Close() {
	client.connections.close()
	client.http.CloseIdleConnections()
}

type messageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type extensionForm struct {
	RequestID string   `json:"requestId,omitempty"`
	Tokens    []string `json:"tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

type promptForm struct {
	Model       string         `json:"model"`
	Messages    []messageForm  `json:"messages"`
	MaxTokens   int            `json:"max_tokens,omitempty"`
	Seed        int64          `json:"seed,omitempty"`
	Temperature *float64       `json:"temperature,omitempty"`
	TopP        *float64       `json:"top_p,omitempty"`
	Stream      bool           `json:"stream"`
	Sapphire    *extensionForm `json:"sapphire,omitempty"`
}

type chunkForm struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Sapphire struct {
		Offset  int      `json:"offset"`
		Tokens  []string `json:"tokens"`
		Total   int      `json:"total"`
		Leaving bool     `json:"leaving"`
	} `json:"sapphire"`
}

// Open begins an attempt. Errors are *runner.AttemptError.
func (client *Client) Open(ctx context.Context, req *request.Request, attempt request.Attempt) (*runner.Stream, error) {
	if attempt.Mode() == request.AttemptResume {
		client.CloseIdle(attempt.Server())
	}
	streamID := attempt.StreamID()
	if attempt.Mode() == request.AttemptTransfer {
		transferred, err := client.transfer(ctx, attempt)
		if err != nil {
			return nil, err
		}
		streamID = transferred
	}
	ctx, cancel := context.WithCancel(ctx)
	httpRequest, err := newHTTPRequest(ctx, req, attempt, streamID)
	if err != nil {
		cancel()
		return nil, runner.NewAttemptError(request.CauseNotSent, err)
	}
	httpRequest.Header.Set(HeaderRequestID, req.ID())
	httpRequest.Header.Set(HeaderAttempt, strconv.Itoa(attempt.Number()))
	response, err := client.connections.client(attempt.Server().Address()).Do(httpRequest)
	if err != nil {
		cancel()
		return nil, runner.NewAttemptError(errorCause(err), err)
	}
	client.recordLoad(attempt.Server(), response.Header)
	if broken := checkResponse(response, req.ID(), streamID); broken != nil {
		response.Body.Close()
		cancel()
		return nil, broken
	}
	reader := newEventReader(response.Body, cancel)
	return runner.NewStream(response.Header.Get(HeaderStreamID), reader.next, reader.close), nil
}

// checkResponse returns an error if the response has another status than 200, or
// belongs to another request or stream.
func checkResponse(response *http.Response, requestID, streamID string) *runner.AttemptError {
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
		return runner.NewAttemptError(statusCause(response.StatusCode), errors.Errorf("status %s: %s", response.Status, body))
	}
	if responseRequestID := response.Header.Get(HeaderRequestID); responseRequestID != "" && responseRequestID != requestID {
		return runner.NewAttemptError(request.CauseInvalid, errors.Errorf("the response belongs to request %s", responseRequestID))
	}
	if responseStreamID := response.Header.Get(HeaderStreamID); streamID != "" && responseStreamID != "" && responseStreamID != streamID {
		return runner.NewAttemptError(request.CauseInvalid, errors.Errorf("the response belongs to stream %s", responseStreamID))
	}
	return nil
}

func newHTTPRequest(ctx context.Context, req *request.Request, attempt request.Attempt, streamID string) (*http.Request, error) {
	base := "http://" + attempt.Server().Address()
	if streamID != "" {
		path := base + "/v1/streams/" + url.PathEscape(streamID) + "?offset=" + strconv.Itoa(attempt.Offset())
		return http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	}
	prompt := req.Prompt()
	form := promptForm{Model: prompt.Model(), MaxTokens: prompt.MaxTokens(), Seed: prompt.Seed(), Stream: true}
	form.Temperature, form.TopP = prompt.Sampling().Temperature(), prompt.Sampling().TopP()
	for _, turn := range prompt.Messages() {
		form.Messages = append(form.Messages, messageForm{Role: turn.Role(), Content: turn.Content()})
	}
	form.Sapphire = &extensionForm{RequestID: req.ID(), Tokens: attempt.Tokens(), Priority: req.Priority()}
	body, err := json.Marshal(form)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	return httpRequest, nil
}

func (client *Client) recordLoad(server *backend.Server, header http.Header) {
	if header.Get(HeaderLeaving) == "true" {
		server.MarkLeaving()
	}
	running, err := strconv.Atoi(header.Get(HeaderRunning))
	if err != nil {
		return
	}
	queued, _ := strconv.Atoi(header.Get(HeaderQueued))
	tokens, _ := strconv.Atoi(header.Get(HeaderTokens))
	server.Report(backend.NewLoad(client.clock.Now(), running, queued, tokens))
}

// Cancel requests that the server stop generating a stream.
func (client *Client) Cancel(ctx context.Context, server *backend.Server, streamID string) error {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+server.Address()+"/v1/streams/"+url.PathEscape(streamID), nil)
	if err != nil {
		return err
	}
	response, err := client.connections.client(server.Address()).Do(httpRequest)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// eventReader reads the events of one attempt.
type eventReader struct {
	body    io.Closer
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

func newEventReader(body io.ReadCloser, cancel context.CancelFunc) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{body: body, scanner: scanner, cancel: cancel}
}

func (reader *eventReader) close() {
	reader.cancel()
	reader.body.Close()
}

// next returns the next event. A comment, which a server sends while it works on
// the request, is an event without tokens. The end of the body is an error with the
// cause request.CauseCut: the caller stops reading at the end mark.
func (reader *eventReader) next() (runner.Event, error) {
	for reader.scanner.Scan() {
		line := reader.scanner.Text()
		if strings.HasPrefix(line, ":") {
			return runner.Event{}, nil
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == doneData {
			continue
		}
		event, err := decodeEvent([]byte(data))
		if err != nil {
			return runner.Event{}, runner.NewAttemptError(request.CauseInvalid, err)
		}
		return event, nil
	}
	err := reader.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return runner.Event{}, runner.NewAttemptError(request.CauseCut, err)
}

func decodeEvent(data []byte) (runner.Event, error) {
	var form chunkForm
	if err := json.Unmarshal(data, &form); err != nil {
		return runner.Event{}, errors.Wrap(err, "decode event")
	}
	if form.Sapphire.Offset < 0 || form.Sapphire.Total < 0 {
		return runner.Event{}, errors.New("event has a negative offset or total")
	}
	event := runner.NewEvent(form.Sapphire.Offset, form.Sapphire.Tokens).WithLeaving(form.Sapphire.Leaving)
	for _, choice := range form.Choices {
		if choice.FinishReason != nil {
			event = event.WithEnd(form.Sapphire.Total)
		}
	}
	return event, nil
}

func errorCause(err error) request.Cause {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return request.CauseNotSent
	}
	return request.CauseCut
}

func statusCause(status int) request.Cause {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return request.CauseRefused
	case http.StatusNotFound, http.StatusGone:
		return request.CauseGone
	default:
		return request.CauseCut
	}
}
