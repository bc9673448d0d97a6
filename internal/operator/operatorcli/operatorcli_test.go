package operatorcli_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorcli"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
)

const tablesText = `
[[routes]]
name = "desk"
kind = "chat"
pool = "runners"
model = "desk-small"
worth = 5.0

[[pools]]
name = "runners"
kind = "runner"
maxHosts = 2

[[pools.models]]
name = "desk-small"
version = "v1"
`

// fakeNode is an entry host with tables and a history in memory.
type fakeNode struct {
	tables  *table.Tables
	records []operator.Record
	// lostResponses is the number of commits whose response is lost, and refusals
	// that of edits refused before they are committed.
	lostResponses int
	refusals      int
	peerVersion   int64
	sent          []string
	drained       []string
}

func (fake *fakeNode) commit(_ context.Context, by string, edit *table.Edit) (*table.Tables, error) {
	fake.sent = append(fake.sent, edit.ID())
	if fake.refusals > 0 {
		fake.refusals--
		return nil, platform.NewUnavailableError(false, errors.New("down"))
	}
	before := fake.tables
	changed, err := before.Apply(edit)
	if err != nil {
		return nil, err
	}
	if changed != before {
		fake.records = append([]operator.Record{operator.RecordOf(edit, by, 1000, before, changed)}, fake.records...)
	}
	fake.tables = changed
	if fake.lostResponses > 0 {
		fake.lostResponses--
		return nil, platform.NewUnavailableError(true, errors.New("lost"))
	}
	return changed, nil
}

func (fake *fakeNode) handler() http.Handler {
	member := func(name string, version int64) node.Member {
		return node.NewMember(name, "127.0.0.1:1", "lj-a", 1).WithState(1, version, true, false)
	}
	return operatorhttp.New(
		func(string) (operator.Token, bool) { return operator.NewToken("ana", true), true },
		fake.commit,
		func(context.Context) (*table.Tables, error) { return fake.tables, nil },
		func(_ context.Context, row string, _ int) ([]operator.Record, error) {
			var found []operator.Record
			for _, record := range fake.records {
				if row == "" || record.Affects(row) {
					found = append(found, record)
				}
			}
			return found, nil
		},
		func() operator.Status {
			servers := []operator.ServerStatus{operator.NewServerStatus("host-1", "127.0.0.1:2", "lj-a", "runners", true, "open", 3, 4)}
			return operator.NewStatus(member("entry-1", fake.tables.Version()), []node.Member{member("entry-2", fake.peerVersion)}, servers)
		},
		func(context.Context) ([]operator.LeaseStatus, error) {
			return []operator.LeaseStatus{operator.NewLeaseStatus("orders.runners.lj-a", "entry-2", 0).WithFence(9)}, nil
		},
		func(_ context.Context, _, host string) error {
			fake.drained = append(fake.drained, "node "+host)
			return nil
		},
		func(_, id string) error {
			fake.drained = append(fake.drained, "server "+id)
			return nil
		},
		func(context.Context) burn.Report {
			meter := burn.New(clock.NewManual(100*clock.Hour).Clock(), 0.95, burn.DefaultSeries)
			for range 20 {
				meter.Count("desk", "garage-<north>", burn.Refused, 0)
			}
			return meter.Report().WithMissing(1)
		},
		func(string, string, string) {},
	).Router()
}

// newSkippingClock returns a clock on which waits under a second pass at once and longer
// ones never.
func newSkippingClock() *clock.Clock {
	now := 100 * clock.Hour
	return clock.New(func() clock.Millis { return now }, func() clock.Millis { return now }, func(delay clock.Millis, fire func()) func() bool {
		if delay < clock.Second {
			now += delay
			fire()
		}
		return func() bool { return true }
	})
}

// fixture is a folder, a fake node and the output of the last command.
type fixture struct {
	fake        *fakeNode
	server      *httptest.Server
	folder      string
	replacement string
	output      string
	errors      string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{fake: &fakeNode{tables: table.Empty()}, folder: t.TempDir()}
	fixture.server = httptest.NewServer(fixture.fake.handler())
	t.Cleanup(fixture.server.Close)
	t.Setenv("TMPDIR", fixture.folder)
	return fixture
}

func (fixture *fixture) file(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(fixture.folder, "tables.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func (fixture *fixture) run(arguments ...string) operatorcli.ExitStatus {
	var output, errorOutput bytes.Buffer
	edit := func(file string) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		old, replacement, _ := strings.Cut(fixture.replacement, "=>")
		return os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)
	}
	arguments = append([]string{"--address=" + strings.TrimPrefix(fixture.server.URL, "http://"), "--token=secret-of-ana"}, arguments...)
	status := operatorcli.Main(arguments, newSkippingClock(), strings.NewReader("key-garage-north\n"), &output, &errorOutput, edit, "v1.2.3")
	fixture.output, fixture.errors = output.String(), errorOutput.String()
	return operatorcli.ExitStatus(status)
}

// expectExit runs a command and checks its status and a part of its output.
func (fixture *fixture) expectExit(t *testing.T, want operatorcli.ExitStatus, part string, arguments ...string) {
	t.Helper()
	require.Equal(t, want, fixture.run(arguments...), fixture.output+fixture.errors)
	require.Contains(t, fixture.output+fixture.errors, part)
}

// apply commits the tables of the tests.
func (fixture *fixture) apply(t *testing.T) {
	t.Helper()
	fixture.expectExit(t, operatorcli.ExitOK, "committed version 1: 2 rows changed", "apply", "-f", fixture.file(t, tablesText))
}

func TestApply(t *testing.T) {
	t.Run("twice changes nothing", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.expectExit(t, operatorcli.ExitOK, "nothing to change", "apply", "-f", fixture.file(t, tablesText))
	})
	t.Run("after a lost response the same edit is sent again", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.fake.lostResponses = 2
		fixture.apply(t)
		require.Len(t, fixture.fake.sent, 3)
		require.Equal(t, fixture.fake.sent[0], fixture.fake.sent[2])
		require.Equal(t, int64(1), fixture.fake.tables.Version())
	})
	t.Run("outcome unknown", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.fake.lostResponses = 100
		fixture.expectExit(t, operatorcli.ExitUnknown, "--edit-id", "apply", "-f", fixture.file(t, tablesText), "--edit-id=edit-7")
		require.Len(t, fixture.fake.sent, 5)
		require.Contains(t, fixture.errors, "edit-7")
	})
	t.Run("a refusal after a lost response leaves the outcome unknown", func(t *testing.T) {
		fixture := newFixture(t)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
			if len(fixture.fake.sent) == 1 {
				fixture.fake.refusals = 100
			}
			fixture.fake.handler().ServeHTTP(writer, message)
		}))
		defer server.Close()
		fixture.server, fixture.fake.lostResponses = server, 1
		fixture.expectExit(t, operatorcli.ExitUnknown, "outcome of edit", "apply", "-f", fixture.file(t, tablesText))
	})
	t.Run("platform down", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.fake.refusals = 1
		fixture.expectExit(t, operatorcli.ExitFailed, "repeat the command once it is back", "apply", "-f", fixture.file(t, tablesText))
	})
	t.Run("in force everywhere", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.fake.peerVersion = 1
		fixture.expectExit(t, operatorcli.ExitOK, "in force 2 of 2", "apply", "--wait", "-f", fixture.file(t, tablesText))
	})
	t.Run("not in force in time", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.expectExit(t, operatorcli.ExitNotActive, "in force on 1 of 2 nodes only", "apply", "--wait", "-f", fixture.file(t, tablesText))
	})
	t.Run("not valid", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.expectExit(t, operatorcli.ExitInvalid, "route/desk: worth: is -1", "apply", "-f", fixture.file(t, strings.Replace(tablesText, "5.0", "-1", 1)))
		require.Empty(t, fixture.fake.sent)
	})
	t.Run("no response", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.server.Close()
		fixture.expectExit(t, operatorcli.ExitUnreachable, "try another entry host", "apply", "-f", fixture.file(t, tablesText))
	})
}

func TestRows(t *testing.T) {
	t.Run("get and list", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.expectExit(t, operatorcli.ExitOK, "worth = 5.0", "routes", "get", "desk")
		fixture.expectExit(t, operatorcli.ExitOK, "desk-small:v1", "pools", "list")
		fixture.expectExit(t, operatorcli.ExitOK, `"worth":5`, "routes", "list", "-o", "json")
		fixture.expectExit(t, operatorcli.ExitUsage, "pools list shows them", "pools", "get", "desk")
	})
	t.Run("edit", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.replacement = "worth = 5.0=>worth = 6.0"
		fixture.expectExit(t, operatorcli.ExitOK, "committed version 2: 1 rows", "routes", "edit", "desk")
		fixture.expectExit(t, operatorcli.ExitOK, "- worth = 5.0", "routes", "history", "desk")
		require.Contains(t, fixture.output, "+ worth = 6.0")
		require.Contains(t, fixture.output, "by ana")
	})
	t.Run("edit without a change", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.expectExit(t, operatorcli.ExitOK, "nothing to change", "routes", "edit", "desk")
	})
	t.Run("edit may not rename", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.replacement = "'desk'=>'desk-2'"
		fixture.expectExit(t, operatorcli.ExitInvalid, "a row keeps its name", "routes", "edit", "desk")
	})
	t.Run("conflict keeps the operator's text", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.replacement = "worth = 5.0=>worth = 6.0"
		stale := fixture.fake.tables
		fixture.expectExit(t, operatorcli.ExitOK, "committed", "routes", "edit", "desk")
		current := fixture.fake.tables
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
			fixture.fake.tables = current
			if message.Method == http.MethodGet {
				fixture.fake.tables = stale
			}
			fixture.fake.handler().ServeHTTP(writer, message)
		}))
		defer server.Close()
		fixture.server, fixture.replacement = server, "worth = 5.0=>worth = 7.0"
		fixture.expectExit(t, operatorcli.ExitConflict, "your text is kept in", "routes", "edit", "desk")
		require.Contains(t, fixture.errors, "row route/desk has revision 2")
	})
	t.Run("delete and revert", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.expectExit(t, operatorcli.ExitOK, "committed version 2", "routes", "delete", "desk")
		fixture.expectExit(t, operatorcli.ExitOK, "committed version 3", "routes", "revert", "desk")
		fixture.expectExit(t, operatorcli.ExitOK, "worth = 5.0", "routes", "get", "desk")
	})
	t.Run("the same edit id again changes nothing", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		fixture.expectExit(t, operatorcli.ExitOK, "committed version 2", "routes", "delete", "desk", "--edit-id=edit-7")
		fixture.expectExit(t, operatorcli.ExitOK, "edit edit-7 is committed", "routes", "delete", "desk", "--edit-id=edit-7")
		require.Len(t, fixture.fake.sent, 2)
	})
	t.Run("revert to a version", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.apply(t)
		for _, typed := range []string{"worth = 5.0=>worth = 6.0", "worth = 6.0=>worth = 7.0", "worth = 7.0=>worth = 8.0"} {
			fixture.replacement = typed
			fixture.expectExit(t, operatorcli.ExitOK, "committed", "routes", "edit", "desk")
		}
		fixture.expectExit(t, operatorcli.ExitOK, "committed version 5", "routes", "revert", "desk", "--version=2")
		fixture.expectExit(t, operatorcli.ExitOK, "worth = 6.0", "routes", "get", "desk")
	})
}

func TestReports(t *testing.T) {
	fixture := newFixture(t)
	fixture.apply(t)
	t.Run("status", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "tables version 1 in force on 1 of 2 nodes", "status")
		for _, part := range []string{"entry-2", "runners.lj-a", "host-1", "true", "open"} {
			require.Contains(t, fixture.output, part)
		}
		fixture.expectExit(t, operatorcli.ExitOK, `"circuit": "open"`, "status", "-o", "json")
	})
	t.Run("diff", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "+ worth = 9.0", "diff", "-f", fixture.file(t, strings.Replace(tablesText, "5.0", "9.0", 1)))
		fixture.expectExit(t, operatorcli.ExitOK, "no difference", "diff", "-f", fixture.file(t, tablesText))
	})
	t.Run("drain", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "finishes what it has", "drain", "node", "entry-2")
		fixture.expectExit(t, operatorcli.ExitOK, "no new work", "drain", "server", "host-1")
		require.Equal(t, []string{"node entry-2", "server host-1"}, fixture.fake.drained)
	})
	t.Run("burn", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "fast", "burn")
		require.Contains(t, fixture.output, "20.00")
		require.Contains(t, fixture.output, "1 live nodes gave no report")
		fixture.expectExit(t, operatorcli.ExitOK, `"alarm": "fast"`, "burn", "-o", "json")
	})
	t.Run("burn page", func(t *testing.T) {
		file := filepath.Join(fixture.folder, "burn.html")
		fixture.expectExit(t, operatorcli.ExitOK, "wrote", "burn", "--html", file)
		page, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Contains(t, string(page), "<svg")
		require.Contains(t, string(page), "garage-&lt;north&gt;")
		require.NotContains(t, string(page), "http")
	})
}

func TestOffline(t *testing.T) {
	fixture := newFixture(t)
	fixture.server.Close()
	t.Run("check", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "is valid: 1 routes, 1 pools", "check", "-f", fixture.file(t, tablesText))
		fixture.expectExit(t, operatorcli.ExitInvalid, "colour", "check", "-f", fixture.file(t, "colour = 1"))
		fixture.expectExit(t, operatorcli.ExitUsage, "no such file", "check", "-f", fixture.folder+"/none")
	})
	t.Run("hash of a key", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "d3df5575b4de61665d7914433c6944192dbab7df5b1ea04ac2f28092add37a71", "hash-key")
	})
	t.Run("version", func(t *testing.T) { fixture.expectExit(t, operatorcli.ExitOK, "v1.2.3", "version") })
	t.Run("usage", func(t *testing.T) { fixture.expectExit(t, operatorcli.ExitUsage, "--help", "frobnicate") })
	t.Run("help lists the exit statuses", func(t *testing.T) { fixture.expectExit(t, operatorcli.ExitOK, "3 conflict", "--help") })
	t.Run("completion", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "complete -F", "completion", "bash")
		script := fixture.output + "\nCOMP_WORDS=(sapphirectl --address=x routes hi) COMP_CWORD=3\n_sapphirectl\necho \"${COMPREPLY[@]}\"\n"
		output, err := exec.Command("bash", "-c", script).CombinedOutput()
		require.NoError(t, err, string(output))
		require.Equal(t, "history\n", string(output))
	})
}

// TestHelp checks that the help of each command has an example.
func TestHelp(t *testing.T) {
	fixture := newFixture(t)
	for _, command := range []string{
		"routes list", "routes get", "routes edit", "routes delete", "routes history", "routes revert", "pools list", "pools get", "pools edit",
		"get", "apply", "diff", "check", "status", "drain node", "drain server", "burn", "where", "hash-key", "completion", "version",
	} {
		t.Run(command, func(t *testing.T) {
			fixture.expectExit(t, operatorcli.ExitOK, "Example:", append(strings.Fields(command), "--help")...)
		})
	}
}

// TestOperatorsPage checks that the page lists each exit status.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATORS.md")
	require.NoError(t, err)
	for status, meaning := range operatorcli.Statuses() {
		t.Run(meaning, func(t *testing.T) {
			require.Contains(t, string(page), fmt.Sprintf("| %d | %s |\n", status, meaning))
		})
	}
}
