package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/settings"
)

const validEntry = `host = "entry-1"
dataCentre = "lj-a"

[caller]
listen = "127.0.0.1:0"

[operator]
listen = "127.0.0.1:0"
token = "token-of-operators"

[node]
listen = "127.0.0.1:0"

[platform]
address = "127.0.0.1:9000"
`

// expectProblem checks that exactly one problem is reported, as one line.
func expectProblem(t *testing.T, data, line string) {
	t.Helper()
	_, err := settings.ParseEntry("entry.toml", []byte(data))
	require.EqualError(t, err, line)
	var faults *settings.Error
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.Problems(), 1)
}

func TestEntry(t *testing.T) {
	t.Run("valid", func(t *testing.T) {
		entry, err := settings.ParseEntry("entry.toml", []byte(validEntry))
		require.NoError(t, err)
		require.Equal(t, "entry-1", entry.Host())
		require.Equal(t, "127.0.0.1:9000", entry.Platform().Address())
	})
	t.Run("unknown key", func(t *testing.T) {
		expectProblem(t, validEntry+"colour = \"x\"\n", "entry.toml:16: platform.colour: unknown key")
	})
	t.Run("wrong type", func(t *testing.T) {
		expectProblem(t, validEntry+"timeoutMillis = \"soon\"\n",
			"entry.toml:16: platform.timeoutMillis: cannot decode TOML string into struct field settings.serverForm.TimeoutMillis of type int64")
	})
	t.Run("out of range", func(t *testing.T) {
		expectProblem(t, validEntry+"timeoutMillis = 70000\n", "entry.toml:16: platform.timeoutMillis: is 70000: allowed is 1 to 60000")
	})
	t.Run("missing", func(t *testing.T) {
		expectProblem(t, validEntry+"[[clientAccounts]]\nkey = \"key-garage-north\"\n",
			"entry.toml:16: clientAccounts.name: missing: a text such as \"garage-north\"")
	})
	t.Run("syntax", func(t *testing.T) {
		expectProblem(t, "host = \n", "entry.toml:1: syntax: unexpected character U+000A at start of value")
	})
}
