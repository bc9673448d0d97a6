// Package service models the calls and answers of application services, and
// decides the claims by which a call with side effects runs at most once.
package service

// MaxRecordedBytes is the largest answer that is recorded with its claim.
const MaxRecordedBytes = 4096

// Call is a caller's request to an application service.
type Call struct {
	method      string
	path        string
	contentType string
	body        []byte
}

// NewCall returns a call. The path includes the query.
func NewCall(method, path, contentType string, body []byte) Call {
	return Call{method: method, path: path, contentType: contentType, body: body}
}

// Method returns the HTTP method.
func (call Call) Method() string { return call.method }

// Path returns the path with its query.
func (call Call) Path() string { return call.path }

// ContentType returns the media type of the body.
func (call Call) ContentType() string { return call.contentType }

// Body returns the body. Callers must not change it.
func (call Call) Body() []byte { return call.body }

// Answer is the complete response of an application service.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer with an HTTP status.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (answer Answer) Status() int { return answer.status }

// ContentType returns the media type of the body.
func (answer Answer) ContentType() string { return answer.contentType }

// Body returns the body. Callers must not change it.
func (answer Answer) Body() []byte { return answer.body }
