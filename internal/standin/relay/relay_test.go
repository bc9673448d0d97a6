package relay_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/relay"
)

// newEcho returns a relay to a server that echoes each line.
func newEcho(t *testing.T) *relay.Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for scanner := bufio.NewScanner(connection); scanner.Scan(); {
					if _, err := connection.Write(append(scanner.Bytes(), '\n')); err != nil {
						break
					}
				}
				connection.Close()
			}()
		}
	}()
	echo, err := relay.New(clock.System(), listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		echo.Close()
		listener.Close()
	})
	return echo
}

func dial(t *testing.T, echo *relay.Relay) (net.Conn, *bufio.Scanner) {
	connection, err := net.Dial("tcp", echo.Address())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection, bufio.NewScanner(connection)
}

func expectEcho(t *testing.T, connection net.Conn, scanner *bufio.Scanner, line string) {
	t.Helper()
	_, err := connection.Write([]byte(line + "\n"))
	require.NoError(t, err)
	require.True(t, scanner.Scan())
	require.Equal(t, line, scanner.Text())
}

func TestRelay(t *testing.T) {
	t.Run("passes lines", func(t *testing.T) {
		echo := newEcho(t)
		connection, scanner := dial(t, echo)
		expectEcho(t, connection, scanner, "one")
	})
	t.Run("cut: the open connection ends, a new one works", func(t *testing.T) {
		echo := newEcho(t)
		connection, scanner := dial(t, echo)
		expectEcho(t, connection, scanner, "one")
		require.Equal(t, 1, echo.Cut())
		require.False(t, scanner.Scan())
		connection, scanner = dial(t, echo)
		expectEcho(t, connection, scanner, "two")
	})
	for name, direction := range map[string]relay.Direction{"to": relay.ToTarget, "from": relay.FromTarget, "both": relay.Both} {
		t.Run("silent "+name+": nothing comes back, a new one works", func(t *testing.T) {
			echo := newEcho(t)
			connection, scanner := dial(t, echo)
			expectEcho(t, connection, scanner, "one")
			require.Equal(t, 1, echo.Silence(direction))
			_, err := connection.Write([]byte("lost\n"))
			require.NoError(t, err)
			second, others := dial(t, echo)
			expectEcho(t, second, others, "two")
			echo.Cut()
			require.False(t, scanner.Scan())
		})
	}
}
