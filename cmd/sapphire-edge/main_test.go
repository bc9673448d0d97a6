package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/program"
)

const testSettings = `
host = "edge-1"
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"
[node]
listen = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
`

// TestSignalEndsStartingProcess guards against a reload signal that ends a process which
// reads its settings (soak seed 9123).
func TestSignalEndsStartingProcess(t *testing.T) {
	bin := os.Getenv("SAPPHIRE_BIN")
	require.NotEmpty(t, bin, "SAPPHIRE_BIN must name the folder of the built programs: make test sets it")
	// Opening the pipe waits until the process opens it to read its settings.
	pipe := filepath.Join(t.TempDir(), "edge.toml")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	command := exec.Command(filepath.Join(bin, "sapphire-edge"), "--settings", pipe)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = writer.WriteString(testSettings)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	lines := bufio.NewScanner(output)
	require.True(t, lines.Scan(), "the process ended before it listened")
	_, ok := program.ParseListening(lines.Bytes())
	require.True(t, ok, lines.Text())
}
