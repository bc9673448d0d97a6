package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/settings"
	"sapphirehead/internal/table/tablecodec"
)

// update rewrites the references on the page, as in
// go test ./internal/settings -run TestOperatorsPage -update.
var update = flag.Bool("update", false, "rewrite the settings references in docs/OPERATORS.md")

const operatorsPage = "../../docs/OPERATORS.md"

// withReference returns the page with the table below the heading replaced by the
// reference.
func withReference(t *testing.T, page, heading, reference string) string {
	t.Helper()
	before, rest, ok := strings.Cut(page, heading)
	require.True(t, ok, "docs/OPERATORS.md has no heading %q", heading)
	text, table, ok := strings.Cut(rest, "| key |")
	require.True(t, ok, "docs/OPERATORS.md has no table below %q", heading)
	_, after, _ := strings.Cut(table, "\n\n")
	if after != "" {
		after = "\n" + after
	}
	return before + heading + text + reference + after
}

func TestOperatorsPage(t *testing.T) {
	expectReference := func(t *testing.T, program string, keys []settings.Key) {
		t.Helper()
		data, err := os.ReadFile(operatorsPage)
		require.NoError(t, err)
		want := withReference(t, string(data), "## Settings of "+program+"\n", settings.Markdown(keys))
		if *update {
			require.NoError(t, os.WriteFile(operatorsPage, []byte(want), 0o644))
			return
		}
		require.True(t, want == string(data), "docs/OPERATORS.md must have the output of %q: run this test with -update", program+" settings")
	}
	t.Run("entry host", func(t *testing.T) { expectReference(t, "sapphire-entry", settings.EntryReference()) })
	t.Run("edge", func(t *testing.T) { expectReference(t, "sapphire-edge", settings.EdgeReference()) })
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
