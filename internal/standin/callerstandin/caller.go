// Package callerstandin is a caller for tests. It compares each response word for
// word with the text that the stand-in runners must generate.
package callerstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/standin/runnerstandin"
)

// Caller sends requests under the key of one client account.
type Caller struct {
	key  string
	http *http.Client
}

// New returns a caller with the key. It does not follow redirects: they lead
// through the balancer, whose role the test has.
func New(key string) *Caller {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Caller{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, CheckRedirect: refuseRedirect}}
}

// Response is a response as the caller received it.
type Response struct {
	status   int
	kind     string
	text     string
	tokens   int
	lastID   string
	location string
}

// Status returns the HTTP status.
func (response Response) Status() int { return response.status }

// Kind returns the error's type, or an empty string.
func (response Response) Kind() string { return response.kind }

// Text returns the body, or the concatenated text of a chat.
func (response Response) Text() string { return response.text }

// Tokens returns the number of choices in the events of a streamed chat, including
// that of the last event with the finish reason.
func (response Response) Tokens() int { return response.tokens }

// Location returns the path at which any entry host serves the response, or an
// empty string.
func (response Response) Location() string { return response.location }

// EventError reports that a stream ended with an error event: the response is
// incomplete.
type EventError struct{}

func (err *EventError) Error() string { return "the stream ended with an error event" }

// LastEventID returns the id of the last event of a streamed chat, or an empty
// string.
func (response Response) LastEventID() string { return response.lastID }

type messageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatForm struct {
	Model       string        `json:"model"`
	Messages    []messageForm `json:"messages"`
	MaxTokens   int           `json:"max_tokens,omitempty"`
	Temperature float64       `json:"temperature"`
	Stream      bool          `json:"stream"`
}

type errorsForm struct {
	Error struct {
		Type string `json:"type"`
	} `json:"error"`
}

type completionForm struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

type chunkForm struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Expected returns the complete text that the stand-in runners generate for a chat.
func Expected(model, content string, maxTokens int) string {
	return strings.Join(runnerstandin.GenerateTokens(model, []string{content}, 0, maxTokens), "")
}

// Chat sends a chat and returns the complete response. An entry host that is
// stopping may redirect to a path at which any other one serves the response: see
// Location and Result.
func (caller *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int) (Response, error) {
	httpResponse, err := caller.sendChat(ctx, address, model, content, maxTokens, nil)
	if err != nil {
		return Response{}, err
	}
	return readCompletion(httpResponse)
}

// Result requests the response at the path of a redirect.
func (caller *Caller) Result(ctx context.Context, address, path string) (Response, error) {
	httpResponse, err := caller.send(ctx, http.MethodGet, "http://"+address+path, nil, nil)
	if err != nil {
		return Response{}, err
	}
	return readCompletion(httpResponse)
}

func readCompletion(httpResponse *http.Response) (Response, error) {
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, errors.Wrap(err, "read response body")
	}
	switch httpResponse.StatusCode {
	case http.StatusOK:
	case http.StatusSeeOther:
		return Response{status: httpResponse.StatusCode, location: httpResponse.Header.Get("Location")}, nil
	default:
		return errorResponse(httpResponse.StatusCode, body), nil
	}
	var form completionForm
	if err := json.Unmarshal(body, &form); err != nil || len(form.Choices) != 1 {
		return Response{}, errors.Errorf("response body is not a completion: %s", body)
	}
	return Response{status: httpResponse.StatusCode, text: form.Choices[0].Message.Content}, nil
}

// StreamChat sends a streamed chat and reads its events until "[DONE]". The function
// progress is called after each decoded event with the number of choices so far.
func (caller *Caller) StreamChat(ctx context.Context, address, model, content string, maxTokens int, progress func(events int)) (Response, error) {
	return caller.streamChat(ctx, address, model, content, maxTokens, Response{}, progress)
}

// ResumeChat repeats a streamed chat of which the caller has received a part, and
// returns the response including that part.
func (caller *Caller) ResumeChat(ctx context.Context, address, model, content string, maxTokens int, partial Response) (Response, error) {
	return caller.streamChat(ctx, address, model, content, maxTokens, partial, func(int) {})
}

func (caller *Caller) streamChat(
	ctx context.Context, address, model, content string, maxTokens int, response Response, progress func(events int),
) (Response, error) {
	httpResponse, err := caller.sendChat(ctx, address, model, content, maxTokens, &response)
	if err != nil {
		return response, err
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(httpResponse.Body)
		return errorResponse(httpResponse.StatusCode, body), nil
	}
	response.status = httpResponse.StatusCode
	scanner := bufio.NewScanner(httpResponse.Body)
	for scanner.Scan() {
		line := scanner.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, "id: "):
			response.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: error"):
			return response, &EventError{}
		case !ok:
		case data == "[DONE]":
			return response, nil
		default:
			if err := response.addEvent(data); err != nil {
				return response, err
			}
			progress(response.tokens)
		}
	}
	return response, errors.Errorf("the stream was cut after %d events: %v", response.tokens, scanner.Err())
}

func (response *Response) addEvent(data string) error {
	var form chunkForm
	if err := json.Unmarshal([]byte(data), &form); err != nil {
		return errors.Wrap(err, "decode event")
	}
	for _, choice := range form.Choices {
		response.text += choice.Delta.Content
		response.tokens++
	}
	return nil
}

// sendChat sends a chat, as a stream if partial is not nil. If partial has events,
// it requests the rest of the stream.
func (caller *Caller) sendChat(ctx context.Context, address, model, content string, maxTokens int, partial *Response) (*http.Response, error) {
	form := chatForm{Model: model, Messages: []messageForm{{Role: "user", Content: content}}, MaxTokens: maxTokens, Stream: partial != nil}
	body, err := json.Marshal(form)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if partial != nil && partial.lastID != "" {
		header.Set("Last-Event-ID", partial.lastID)
	}
	return caller.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", header, body)
}

// Call sends a call to an application service.
func (caller *Caller) Call(ctx context.Context, method, address, path, idempotencyKey string, body []byte) (Response, error) {
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	httpResponse, err := caller.send(ctx, method, "http://"+address+path, header, body)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, errors.Wrap(err, "read response body")
	}
	if httpResponse.StatusCode >= http.StatusBadRequest {
		return errorResponse(httpResponse.StatusCode, data), nil
	}
	return Response{status: httpResponse.StatusCode, text: string(data)}, nil
}

func (caller *Caller) send(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	request.Header.Set("Authorization", "Bearer "+caller.key)
	return caller.http.Do(request)
}

func errorResponse(status int, body []byte) Response {
	var form errorsForm
	_ = json.Unmarshal(body, &form)
	return Response{status: status, kind: form.Error.Type, text: string(body)}
}

// CheckText returns an error unless the response has status 200 and the expected
// text.
func CheckText(response Response, expected string) error {
	if response.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.status, response.text)
	}
	if response.text != expected {
		return fmt.Errorf("got %q, expected %q", response.text, expected)
	}
	return nil
}
