package entry

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// matchesIn returns the pattern's captures in the folders' Go files, except for
// tests.
func matchesIn(t *testing.T, pattern string, folders ...string) []string {
	t.Helper()
	var found []string
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
				found = append(found, match[1])
			}
		}
	}
	return found
}

// expectDocumented checks that docs/METRICS.md lists each of the names.
func expectDocumented(t *testing.T, names []string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	require.NotEmpty(t, names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			require.True(t, strings.Contains(string(page), "`"+name+"`"), "docs/METRICS.md must name it with its unit or meaning")
		})
	}
}

func TestMetricsPage(t *testing.T) {
	expectDocumented(t, matchesIn(t, `counters\.(?:Add|Set)\("(\w+)"`, ".", "../steward"))
}

// edgeSection matches the section on sapphire-edge, which TestMetricsPage of
// internal/edge compares in both directions with the metrics of a node.
var edgeSection = regexp.MustCompile(`(?s)### sapphire-edge\n.*?\n## `)

func TestMetricsPageNamesNoOthers(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	require.Regexp(t, edgeSection, string(page))
	page = edgeSection.ReplaceAll(page, nil)
	counterNames := matchesIn(t, `counters\.(?:Add|Set)\("(\w+)"`, ".", "../steward")
	for _, match := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (?:gauge|counter) ").FindAllStringSubmatch(string(page), -1) {
		t.Run(match[1], func(t *testing.T) { require.Contains(t, counterNames, match[1]) })
	}
}

func TestLogsPage(t *testing.T) {
	t.Run("fields of lines", func(t *testing.T) {
		expectDocumented(t, matchesIn(t, `\.(?:Str|Strs|Bool|Int|Int64|Float64)\("(\w+)", `, ".", "../steward"))
	})
	t.Run("named fields", func(t *testing.T) { expectDocumented(t, matchesIn(t, `Field\w+ += "(\w+)"`, "../logging")) })
}
