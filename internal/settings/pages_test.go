package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/settings"
	"sapphirehead/internal/table/tablecodec"
)

func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	require.NoError(t, err)
	expectReference := func(t *testing.T, program string, keys []settings.Key) {
		t.Helper()
		require.Contains(t, string(page), settings.Markdown(keys), "docs/OPERATORS.md must hold what %q prints", program+" settings")
	}
	t.Run("entry host", func(t *testing.T) { expectReference(t, "sapphire-entry", settings.EntryReference()) })
	t.Run("steward", func(t *testing.T) { expectReference(t, "sapphire-steward", settings.StewardReference()) })
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"filtrix", "tarbela"} {
		folder := filepath.Join("../../examples", name)
		t.Run(name+" entry host", func(t *testing.T) {
			entry, err := settings.LoadEntry(filepath.Join(folder, "entry.toml"))
			require.NoError(t, err)
			require.Len(t, entry.Accounts(), 5)
		})
		t.Run(name+" steward", func(t *testing.T) {
			_, err := settings.LoadSteward(filepath.Join(folder, "steward.toml"))
			require.NoError(t, err)
		})
		t.Run(name+" tables", func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(folder, "tables.toml"))
			require.NoError(t, err)
			tables, err := tablecodec.DecodeTOML(data)
			require.NoError(t, err)
			require.NoError(t, tables.Check())
		})
	}
}
