//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sent is one client attempt and what the client saw of it.
type sent struct {
	id       string
	node     *node
	opened   time.Time
	sentAt   time.Time
	headAt   time.Time
	endedAt  time.Time
	whole    bool
	status   int
	complete bool
	failure  string
	// leaving is set if the answer said that its runner leaves.
	leaving bool
	body    string
}

// Deadlines of clients: of charge-skip and order-lookup, and of chat-reply.
const (
	chargeDeadline = 3 * time.Second
	chatDeadline   = 15 * time.Second
)

func (env *env) nextID() string { return fmt.Sprintf("%016x", 0x5eed0000+env.ids.Add(1)) }

func requestText(method, path, id string, deadline time.Duration, body string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\nAuthorization: Token %s\r\n",
		method, path, "desk.example", id, strconv.FormatInt(deadline.Milliseconds(), 10), "key-of-garage")
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return head + "\r\n" + body
}

// attempt sends one request on a channel of its own to the node and waits for the answer
// until the client's deadline.
func (env *env) attempt(node *node, method, path string, deadline time.Duration) *sent {
	attempt := &sent{id: env.nextID(), node: node, opened: time.Now()}
	address, _ := node.caller.Load().(string)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		attempt.failure, attempt.endedAt = "no channel: "+err.Error(), time.Now()
		return attempt
	}
	defer conn.Close()
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	_, err = io.WriteString(conn, requestText(method, path, attempt.id, deadline, body))
	attempt.sentAt = time.Now()
	if err != nil {
		attempt.failure, attempt.endedAt = "not sent: "+err.Error(), time.Now()
		return attempt
	}
	attempt.whole = true
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err == nil {
		attempt.headAt, attempt.status = time.Now(), response.StatusCode
		attempt.leaving = response.Header.Get("Server-Leaving") == "1"
		var data []byte
		data, err = io.ReadAll(response.Body)
		attempt.body = string(data)
		response.Body.Close()
	}
	attempt.endedAt = time.Now()
	attempt.complete = err == nil
	if err != nil {
		attempt.failure = err.Error()
	}
	return attempt
}
