// Package crowd plays clients that are not controlled: many connections that leave heads,
// bodies and responses unfinished. It serves tests with real processes on loopback.
package crowd

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// BodyLimit is the limit of the configuration on bodies. The bodies that Kinds send are
	// one byte shorter.
	BodyLimit = 128 << 10
	// headBytes is the size of a large head below the limit of the programs, 64 KiB.
	headBytes = 60 << 10
	// overLimitBytes is the announced length of a body far over the limit.
	overLimitBytes = "1073741824"
	// maxDialling bounds the connections that a crowd opens at once.
	maxDialling = 64
	// pollInterval is the time between two checks whether the crowd has come to rest, which
	// it has after restPolls checks without progress.
	pollInterval = 20 * clock.Millisecond
	restPolls    = 10
	// dripInterval is the time between two bytes of a slow sender.
	dripInterval = 20 * clock.Millisecond
	// drippedBytes is after how many bytes a slow sender counts as at rest.
	drippedBytes = 10
	// sentBytes bounds what a connection sends without an end, and aheadBytes the requests
	// that it sends ahead, each of which costs much more than its bytes.
	sentBytes  = 1 << 20
	aheadBytes = 16 << 10
)

// Kind is what each connection of a crowd does.
type Kind struct {
	name string
	// sends returns what is sent first. The start is the request line without its method,
	// and the fields that the path requires, each with its line end.
	sends func(start string) string
	// repeats, if any, returns what is sent after it again and again, up to limit bytes.
	repeats func(start string) string
	limit   int
	// slow kinds send repeats byte by byte, and read in the same way.
	slow, reads, halfCloses bool
}

// Name returns the name of the kind.
func (kind Kind) Name() string { return kind.name }

// shortFields returns fields of seven bytes with names that differ, as long as a large
// head.
func shortFields() string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for i := 0; fields.Len() < headBytes; i++ {
		fields.Write([]byte{digits[i/676%26], digits[i/26%26], digits[i%26], ':', 'b', '\r', '\n'})
	}
	return fields.String()
}

// Kinds returns every kind of traffic.
func Kinds() []Kind {
	plain := func(method, rest string) func(string) string {
		return func(start string) string { return method + start + rest }
	}
	body, fields := strings.Repeat("x", BodyLimit-1), shortFields()
	same := func(text string) func(string) string { return func(string) string { return text } }
	announced := func(length, rest string) string { return "Content-Length: " + length + "\r\n\r\n" + rest }
	return []Kind{
		{name: "silent", sends: func(string) string { return "" }},
		{name: "half-closed", sends: plain("GET ", "\r\n"), halfCloses: true},
		{name: "half-closed in the head", sends: plain("GET ", ""), halfCloses: true},
		{name: "unfinished body", sends: plain("POST ", announced("131072", body))},
		{name: "unfinished chunks", sends: plain("POST ", "Transfer-Encoding: chunked\r\n\r\n1ffff\r\n"+body)},
		{name: "body in single bytes", sends: plain("POST ", announced("131072", "")), repeats: same("x"), limit: sentBytes, slow: true},
		{name: "body over the limit", sends: plain("POST ", announced(overLimitBytes, "")), repeats: same(body), limit: sentBytes},
		{name: "body over the limit after Expect", sends: plain("POST ", "Expect: 100-continue\r\n"+announced(overLimitBytes, "")), repeats: same(body), limit: sentBytes},
		{name: "chunks over the limit", sends: plain("POST ", "Transfer-Encoding: chunked\r\n\r\n"), repeats: same("1ffff\r\n" + body + "\r\n"), limit: sentBytes},
		{name: "many short fields", sends: plain("POST ", fields+announced("10", ""))},
		{name: "many short fields without an end", sends: plain("POST ", fields)},
		{name: "long head without an end", sends: plain("GET ", "A: "+strings.Repeat("a", headBytes))},
		{name: "endless head", sends: plain("GET ", ""), repeats: same(fields), limit: sentBytes},
		{name: "head in single bytes", sends: plain("GET ", "A: "), repeats: same("a"), limit: sentBytes, slow: true},
		{name: "requests ahead", sends: plain("GET ", "\r\n"), repeats: plain("GET ", "\r\n"), limit: aheadBytes},
		{name: "unread response", sends: plain("GET ", "\r\n")},
		{name: "response read in single bytes", sends: plain("GET ", "\r\n"), reads: true, limit: sentBytes, slow: true},
	}
}

// Crowd is a set of connections that do the same.
type Crowd struct {
	clock    *clock.Clock
	ctx      context.Context
	end      context.CancelFunc
	done     sync.WaitGroup
	dialling chan struct{}
	// progress counts what the connections have done, and resting those that wait.
	progress atomic.Int64
	resting  atomic.Int64
	size     int
}

// Start opens as many connections with the function dial, which each do what the kind
// says, until Close.
func Start(kind Kind, start string, size int, dial func(ctx context.Context) (net.Conn, error)) *Crowd {
	ctx, end := context.WithCancel(context.Background())
	crowd := &Crowd{clock: clock.System(), ctx: ctx, end: end, dialling: make(chan struct{}, maxDialling), size: size}
	bytes := []byte(kind.sends(start))
	for range size {
		crowd.done.Go(func() { crowd.play(kind, start, bytes, dial) })
	}
	return crowd
}

// play is one connection.
func (crowd *Crowd) play(kind Kind, start string, first []byte, dial func(ctx context.Context) (net.Conn, error)) {
	rested := sync.OnceFunc(func() { crowd.resting.Add(1) })
	defer rested()
	crowd.dialling <- struct{}{}
	conn, err := dial(crowd.ctx)
	<-crowd.dialling
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(crowd.ctx, func() { conn.Close() })()
	if _, err := conn.Write(first); err != nil {
		return
	}
	crowd.progress.Add(int64(len(first)) + 1)
	if half, ok := conn.(interface{ CloseWrite() error }); ok && kind.halfCloses {
		// It fails only if the other side closed the connection.
		_ = half.CloseWrite()
	}
	crowd.carryOn(kind, start, conn, rested)
	rested()
	<-crowd.ctx.Done()
}

// carryOn sends or reads what follows, until the connection closes.
func (crowd *Crowd) carryOn(kind Kind, start string, conn net.Conn, rested func()) {
	var one [1]byte
	var part []byte
	if kind.repeats != nil {
		part = []byte(kind.repeats(start))
	}
	for sent := 0; sent < kind.limit; {
		var err error
		switch {
		case kind.reads:
			_, err = conn.Read(one[:])
			sent++
		default:
			_, err = conn.Write(part)
			sent += len(part)
		}
		if err != nil {
			return
		}
		crowd.progress.Add(1)
		if kind.slow {
			if sent == drippedBytes {
				rested()
			}
			if crowd.clock.Wait(crowd.ctx, dripInterval) != nil {
				return
			}
		}
	}
}

// Settle waits until the connections have sent what they can, and calls sample meanwhile.
// It reports false if the context ends before.
func (crowd *Crowd) Settle(ctx context.Context, sample func()) bool {
	for unchanged, last := 0, int64(-1); ; {
		sample()
		progress := crowd.progress.Load()
		if progress != last {
			unchanged = 0
		}
		last = progress
		if unchanged++; unchanged > restPolls || int(crowd.resting.Load()) == crowd.size {
			return true
		}
		if crowd.clock.Wait(ctx, pollInterval) != nil {
			return false
		}
	}
}

// Close closes the connections.
func (crowd *Crowd) Close() {
	crowd.end()
	crowd.done.Wait()
}
