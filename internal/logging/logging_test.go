package logging_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/logging"
)

func TestLines(t *testing.T) {
	// linesAt returns the log at the level after one info line and one warning.
	linesAt := func(t *testing.T, level string) string {
		t.Helper()
		file, err := os.Create(filepath.Join(t.TempDir(), "log"))
		require.NoError(t, err)
		defer func() { require.NoError(t, file.Close()) }()
		log := logging.New(file, level, "sapphire-entry", "entry-1", "lj-a")
		log.Info().Msg("first")
		log.Warn().Msg("second")
		text, err := os.ReadFile(file.Name())
		require.NoError(t, err)
		return string(text)
	}
	t.Run("every line names program, host and data centre", func(t *testing.T) {
		require.Contains(t, linesAt(t, "info"), `{"level":"info","program":"sapphire-entry","host":"entry-1","dataCentre":"lj-a","time":`)
	})
	t.Run("level", func(t *testing.T) {
		text := linesAt(t, "warn")
		require.NotContains(t, text, "first")
		require.Contains(t, text, "second")
	})
}
