package callerlink_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
)

// TestBodyMemory guards against bodies without progress that keep others from arriving.
func TestBodyMemory(t *testing.T) {
	const limit = 256 << 10
	newMemory := func() (*callerlink.BodyMemory, *clock.Manual) {
		manual := clock.NewManual(1000)
		return callerlink.NewBodyMemory(manual.Clock(), func() int64 { return limit }, func() int64 { return 1 << 10 }, func(callerlink.Kind, string) {}), manual
	}
	// stall begins a body without progress, which is sent to ended when it yields.
	stall := func(memory *callerlink.BodyMemory, announced int, ended chan<- *callerlink.BodyHold) *callerlink.BodyHold {
		reader, writer := io.Pipe()
		held, hold := memory.Held(), memory.Begin("stalled", func() { writer.CloseWithError(io.ErrUnexpectedEOF) })
		go func() {
			if _, err := hold.ReadAll(reader, announced); err != nil {
				ended <- hold
			}
		}()
		_, err := writer.Write([]byte("body"))
		require.NoError(t, err)
		require.Greater(t, memory.Held(), held)
		return hold
	}
	t.Run("whole bodies", func(t *testing.T) {
		memory, _ := newMemory()
		for _, size := range []int{1, 4 << 10, 64 << 10, 200 << 10} {
			for _, announced := range []int{size, -1} {
				hold := memory.Begin("caller", func() { t.Error("yielded") })
				sent := bytes.Repeat([]byte("x"), size)
				body, err := hold.ReadAll(bytes.NewReader(sent), announced)
				require.NoError(t, err)
				require.Equal(t, sent, body)
				require.True(t, hold.End())
				hold.Release()
				require.Zero(t, memory.Held())
			}
		}
	})
	t.Run("a body that ends early", func(t *testing.T) {
		memory, _ := newMemory()
		_, err := memory.Begin("caller", func() {}).ReadAll(strings.NewReader("bo"), 4)
		require.Error(t, err)
	})
	t.Run("an announced length reserves little", func(t *testing.T) {
		memory, _ := newMemory()
		hold := stall(memory, limit, nil)
		require.EqualValues(t, 64<<10, memory.Held())
		require.True(t, hold.End())
		hold.Release()
	})
	t.Run("one without progress yields, and a short one needs no room", func(t *testing.T) {
		memory, manual := newMemory()
		ended := make(chan *callerlink.BodyHold, limit/(64<<10))
		for range limit / (64 << 10) {
			stall(memory, 64<<10, ended)
		}
		short := memory.Begin("caller", func() {})
		_, err := short.ReadAll(strings.NewReader("short"), 5)
		require.NoError(t, err)
		require.True(t, short.End())
		short.Release()
		require.Empty(t, ended)
		manual.Advance(clock.Second)
		received := make(chan error, 1)
		caller := memory.Begin("caller", func() { t.Error("yielded") })
		go func() {
			_, err := caller.ReadAll(bytes.NewReader(make([]byte, 64<<10)), 64<<10)
			received <- err
		}()
		// The request polls for memory, and waits for at most 50 polls.
		advance := func(step clock.Millis) {
			manual.Advance(step)
			require.NoError(t, clock.System().Wait(t.Context(), clock.Millisecond))
		}
		yielded := <-ended
		for range 30 {
			advance(20 * clock.Millisecond)
		}
		require.False(t, yielded.End())
		yielded.Release()
		for len(received) == 0 {
			advance(clock.Millisecond)
		}
		require.NoError(t, <-received)
	})
}
