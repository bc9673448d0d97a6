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
	// lose is the number of commits whose answer is lost, and down that of
	// edits refused before they are committed.
	lose    int
	down    int
	inForce int64
	sent    []string
	drained []string
}

func (fake *fakeNode) commit(_ context.Context, by string, edit *table.Edit) (*table.Tables, error) {
	fake.sent = append(fake.sent, edit.ID())
	if fake.down > 0 {
		fake.down--
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
	if fake.lose > 0 {
		fake.lose--
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
				if row == "" || record.Concerns(row) {
					found = append(found, record)
				}
			}
			return found, nil
		},
		func() operator.Status {
			servers := []operator.ServerStatus{operator.NewServerStatus("host-1", "127.0.0.1:2", "lj-a", "runners", true, "open", 3, 4)}
			return operator.NewStatus(member("entry-1", fake.tables.Version()), []node.Member{member("entry-2", fake.inForce)}, servers)
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

// hasty returns a clock on which short waits pass at once and long ones never.
func hasty() *clock.Clock {
	now := 100 * clock.Hour
	return clock.New(func() clock.Millis { return now }, func() clock.Millis { return now }, func(delay clock.Millis, fire func()) func() bool {
		if delay < clock.Second {
			now += delay
			fire()
		}
		return func() bool { return true }
	})
}

// bench is a folder, a fake node and what the last command printed.
type bench struct {
	fake   *fakeNode
	server *httptest.Server
	folder string
	typed  string
	out    string
	errors string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	bench := &bench{fake: &fakeNode{tables: table.Empty()}, folder: t.TempDir()}
	bench.server = httptest.NewServer(bench.fake.handler())
	t.Cleanup(bench.server.Close)
	t.Setenv("TMPDIR", bench.folder)
	return bench
}

func (bench *bench) file(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(bench.folder, "tables.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func (bench *bench) run(arguments ...string) operatorcli.ExitStatus {
	var out, errorsTo bytes.Buffer
	edit := func(file string) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		old, replacement, _ := strings.Cut(bench.typed, "=>")
		return os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)
	}
	arguments = append([]string{"--address=" + strings.TrimPrefix(bench.server.URL, "http://"), "--token=secret-of-ana"}, arguments...)
	status := operatorcli.Main(arguments, hasty(), strings.NewReader("key-garage-north\n"), &out, &errorsTo, edit, "v1.2.3")
	bench.out, bench.errors = out.String(), errorsTo.String()
	return operatorcli.ExitStatus(status)
}

// expectExit runs a command and checks its status and a part of its output.
func (bench *bench) expectExit(t *testing.T, want operatorcli.ExitStatus, part string, arguments ...string) {
	t.Helper()
	require.Equal(t, want, bench.run(arguments...), bench.out+bench.errors)
	require.Contains(t, bench.out+bench.errors, part)
}

// apply commits the tables of the tests.
func (bench *bench) apply(t *testing.T) {
	t.Helper()
	bench.expectExit(t, operatorcli.ExitOK, "committed version 1: 2 rows changed", "apply", "-f", bench.file(t, tablesText))
}

func TestApply(t *testing.T) {
	t.Run("twice changes nothing", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.expectExit(t, operatorcli.ExitOK, "nothing to change", "apply", "-f", bench.file(t, tablesText))
	})
	t.Run("a lost answer sends the same edit again", func(t *testing.T) {
		bench := newBench(t)
		bench.fake.lose = 2
		bench.apply(t)
		require.Len(t, bench.fake.sent, 3)
		require.Equal(t, bench.fake.sent[0], bench.fake.sent[2])
		require.Equal(t, int64(1), bench.fake.tables.Version())
	})
	t.Run("outcome unknown", func(t *testing.T) {
		bench := newBench(t)
		bench.fake.lose = 100
		bench.expectExit(t, operatorcli.ExitUnknown, "--edit-id", "apply", "-f", bench.file(t, tablesText), "--edit-id=edit-7")
		require.Len(t, bench.fake.sent, 5)
		require.Contains(t, bench.errors, "edit-7")
	})
	t.Run("a refusal after a lost answer leaves the outcome unknown", func(t *testing.T) {
		bench := newBench(t)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
			if len(bench.fake.sent) == 1 {
				bench.fake.down = 100
			}
			bench.fake.handler().ServeHTTP(writer, message)
		}))
		defer server.Close()
		bench.server, bench.fake.lose = server, 1
		bench.expectExit(t, operatorcli.ExitUnknown, "outcome of edit", "apply", "-f", bench.file(t, tablesText))
	})
	t.Run("platform down", func(t *testing.T) {
		bench := newBench(t)
		bench.fake.down = 1
		bench.expectExit(t, operatorcli.ExitFailed, "repeat the command once it is back", "apply", "-f", bench.file(t, tablesText))
	})
	t.Run("in force everywhere", func(t *testing.T) {
		bench := newBench(t)
		bench.fake.inForce = 1
		bench.expectExit(t, operatorcli.ExitOK, "in force 2 of 2", "apply", "--wait", "-f", bench.file(t, tablesText))
	})
	t.Run("not in force in time", func(t *testing.T) {
		bench := newBench(t)
		bench.expectExit(t, operatorcli.ExitNotInForce, "in force on 1 of 2 nodes only", "apply", "--wait", "-f", bench.file(t, tablesText))
	})
	t.Run("not valid", func(t *testing.T) {
		bench := newBench(t)
		bench.expectExit(t, operatorcli.ExitInvalid, "route/desk: worth: is -1", "apply", "-f", bench.file(t, strings.Replace(tablesText, "5.0", "-1", 1)))
		require.Empty(t, bench.fake.sent)
	})
	t.Run("nobody answers", func(t *testing.T) {
		bench := newBench(t)
		bench.server.Close()
		bench.expectExit(t, operatorcli.ExitUnreachable, "try another entry host", "apply", "-f", bench.file(t, tablesText))
	})
}

func TestRows(t *testing.T) {
	t.Run("get and list", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.expectExit(t, operatorcli.ExitOK, "worth = 5.0", "routes", "get", "desk")
		bench.expectExit(t, operatorcli.ExitOK, "desk-small:v1", "pools", "list")
		bench.expectExit(t, operatorcli.ExitOK, `"worth":5`, "routes", "list", "-o", "json")
		bench.expectExit(t, operatorcli.ExitUsage, "pools list shows them", "pools", "get", "desk")
	})
	t.Run("edit", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.typed = "worth = 5.0=>worth = 6.0"
		bench.expectExit(t, operatorcli.ExitOK, "committed version 2: 1 rows", "routes", "edit", "desk")
		bench.expectExit(t, operatorcli.ExitOK, "- worth = 5.0", "routes", "history", "desk")
		require.Contains(t, bench.out, "+ worth = 6.0")
		require.Contains(t, bench.out, "by ana")
	})
	t.Run("edit without a change", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.expectExit(t, operatorcli.ExitOK, "nothing to change", "routes", "edit", "desk")
	})
	t.Run("edit may not rename", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.typed = "'desk'=>'desk-2'"
		bench.expectExit(t, operatorcli.ExitInvalid, "a row keeps its name", "routes", "edit", "desk")
	})
	t.Run("conflict keeps the operator's text", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.typed = "worth = 5.0=>worth = 6.0"
		stale := bench.fake.tables
		bench.expectExit(t, operatorcli.ExitOK, "committed", "routes", "edit", "desk")
		current := bench.fake.tables
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
			bench.fake.tables = current
			if message.Method == http.MethodGet {
				bench.fake.tables = stale
			}
			bench.fake.handler().ServeHTTP(writer, message)
		}))
		defer server.Close()
		bench.server, bench.typed = server, "worth = 5.0=>worth = 7.0"
		bench.expectExit(t, operatorcli.ExitConflict, "your text is kept in", "routes", "edit", "desk")
		require.Contains(t, bench.errors, "row route/desk has revision 2")
	})
	t.Run("delete and revert", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.expectExit(t, operatorcli.ExitOK, "committed version 2", "routes", "delete", "desk")
		bench.expectExit(t, operatorcli.ExitOK, "committed version 3", "routes", "revert", "desk")
		bench.expectExit(t, operatorcli.ExitOK, "worth = 5.0", "routes", "get", "desk")
	})
	t.Run("the same edit id again changes nothing", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		bench.expectExit(t, operatorcli.ExitOK, "committed version 2", "routes", "delete", "desk", "--edit-id=edit-7")
		bench.expectExit(t, operatorcli.ExitOK, "edit edit-7 is committed", "routes", "delete", "desk", "--edit-id=edit-7")
		require.Len(t, bench.fake.sent, 2)
	})
	t.Run("revert to a version", func(t *testing.T) {
		bench := newBench(t)
		bench.apply(t)
		for _, typed := range []string{"worth = 5.0=>worth = 6.0", "worth = 6.0=>worth = 7.0", "worth = 7.0=>worth = 8.0"} {
			bench.typed = typed
			bench.expectExit(t, operatorcli.ExitOK, "committed", "routes", "edit", "desk")
		}
		bench.expectExit(t, operatorcli.ExitOK, "committed version 5", "routes", "revert", "desk", "--version=2")
		bench.expectExit(t, operatorcli.ExitOK, "worth = 6.0", "routes", "get", "desk")
	})
}

func TestReports(t *testing.T) {
	bench := newBench(t)
	bench.apply(t)
	t.Run("status", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "tables version 1 in force on 1 of 2 nodes", "status")
		for _, part := range []string{"entry-2", "runners.lj-a", "host-1", "true", "open"} {
			require.Contains(t, bench.out, part)
		}
		bench.expectExit(t, operatorcli.ExitOK, `"circuit": "open"`, "status", "-o", "json")
	})
	t.Run("diff", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "+ worth = 9.0", "diff", "-f", bench.file(t, strings.Replace(tablesText, "5.0", "9.0", 1)))
		bench.expectExit(t, operatorcli.ExitOK, "no difference", "diff", "-f", bench.file(t, tablesText))
	})
	t.Run("drain", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "finishes what it has", "drain", "node", "entry-2")
		bench.expectExit(t, operatorcli.ExitOK, "no new work", "drain", "server", "host-1")
		require.Equal(t, []string{"node entry-2", "server host-1"}, bench.fake.drained)
	})
	t.Run("burn", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "fast", "burn")
		require.Contains(t, bench.out, "20.00")
		require.Contains(t, bench.out, "1 live nodes gave no report")
		bench.expectExit(t, operatorcli.ExitOK, `"alarm": "fast"`, "burn", "-o", "json")
	})
	t.Run("burn page", func(t *testing.T) {
		file := filepath.Join(bench.folder, "burn.html")
		bench.expectExit(t, operatorcli.ExitOK, "wrote", "burn", "--html", file)
		page, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Contains(t, string(page), "<svg")
		require.Contains(t, string(page), "garage-&lt;north&gt;")
		require.NotContains(t, string(page), "http")
	})
}

func TestOffline(t *testing.T) {
	bench := newBench(t)
	bench.server.Close()
	t.Run("check", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "is valid: 1 routes, 1 pools", "check", "-f", bench.file(t, tablesText))
		bench.expectExit(t, operatorcli.ExitInvalid, "colour", "check", "-f", bench.file(t, "colour = 1"))
		bench.expectExit(t, operatorcli.ExitUsage, "no such file", "check", "-f", bench.folder+"/none")
	})
	t.Run("hash of a key", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "d3df5575b4de61665d7914433c6944192dbab7df5b1ea04ac2f28092add37a71", "hash-key")
	})
	t.Run("version", func(t *testing.T) { bench.expectExit(t, operatorcli.ExitOK, "v1.2.3", "version") })
	t.Run("usage", func(t *testing.T) { bench.expectExit(t, operatorcli.ExitUsage, "--help", "frobnicate") })
	t.Run("help lists the exit statuses", func(t *testing.T) { bench.expectExit(t, operatorcli.ExitOK, "3 conflict", "--help") })
	t.Run("completion", func(t *testing.T) {
		bench.expectExit(t, operatorcli.ExitOK, "complete -F", "completion", "bash")
		script := bench.out + "\nCOMP_WORDS=(sapphirectl --address=x routes hi) COMP_CWORD=3\n_sapphirectl\necho \"${COMPREPLY[@]}\"\n"
		output, err := exec.Command("bash", "-c", script).CombinedOutput()
		require.NoError(t, err, string(output))
		require.Equal(t, "history\n", string(output))
	})
}

// TestHelp checks that the help of each command has an example.
func TestHelp(t *testing.T) {
	bench := newBench(t)
	for _, command := range []string{
		"routes list", "routes get", "routes edit", "routes delete", "routes history", "routes revert", "pools list", "pools get", "pools edit",
		"get", "apply", "diff", "check", "status", "drain node", "drain server", "burn", "hash-key", "completion", "version",
	} {
		t.Run(command, func(t *testing.T) {
			bench.expectExit(t, operatorcli.ExitOK, "Example:", append(strings.Fields(command), "--help")...)
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
