// Package operatorcli holds the commands of sapphirectl. The exported fields
// of the commands are filled by kong through reflection.
//
// A command returns an error; StatusOf returns its exit status and Advice a next step
// for the operator:
//
//	$ sapphirectl routes delete desk
//	sapphirectl: conflict: row route/desk has revision 8, the edit names 5: ...
//	next: read the row again (routes get, pools get), or use diff, and repeat the command
//	$ echo $?
//	3
package operatorcli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/keys"
	"sapphirehead/internal/operator/operatorhttp"
)

const callTimeout = 10 * clock.Second

// Formats of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Connection holds the address of the entry host, the credentials and the form of
// output.
type Connection struct {
	Address string `help:"Operators' address of any entry host, such as 10.0.0.7:7001." env:"SAPPHIRE_ADDRESS"`
	Token   string `help:"Operator's token." env:"SAPPHIRE_TOKEN"`
	CA      string `help:"Authorities that signed the entry host's certificate. Turns on TLS." env:"SAPPHIRE_CA" name:"ca" type:"path"`
	Cert    string `help:"Operator's certificate, if entry hosts ask for one." env:"SAPPHIRE_CERT" type:"path"`
	Key     string `help:"Private key of the certificate." env:"SAPPHIRE_KEY" type:"path"`
	Output  string `help:"Form of output: ${enum}." enum:"table,json" default:"table" short:"o"`
}

// CommandLine is the command line of sapphirectl.
type CommandLine struct {
	Connection
	Routes     RoutesCommand     `cmd:"" help:"Show and change the table of routes. Example: sapphirectl routes list"`
	Pools      PoolsCommand      `cmd:"" help:"Show and change the table of pools. Example: sapphirectl pools get runners"`
	Get        GetCommand        `cmd:"" help:"Print both tables as TOML. Example: sapphirectl get > tables.toml"`
	Apply      ApplyCommand      `cmd:"" help:"Change the tables to those of a file. Example: sapphirectl apply -f tables.toml --wait"`
	Diff       DiffCommand       `cmd:"" help:"Show what apply would change. Example: sapphirectl diff -f tables.toml"`
	Check      CheckCommand      `cmd:"" help:"Check a file with both tables, without an entry host. Example: sapphirectl check -f tables.toml"`
	Status     StatusCommand     `cmd:"" help:"Show nodes, tables in force, leases and backend servers. Example: sapphirectl status"`
	Drain      DrainCommand      `cmd:"" help:"Stop an entry host gracefully, or mark a backend server as leaving. Example: sapphirectl drain node entry-1"`
	Burn       BurnCommand       `cmd:"" help:"Show the service-level burn. Example: sapphirectl burn --html burn.html"`
	Rollouts   RolloutsCommand   `cmd:"" help:"Show the rollouts of software versions that a node of sapphire-edge knows. Example: sapphirectl rollouts --at 10.0.0.7:7101"`
	Explain    ExplainCommand    `cmd:"" help:"Explain the end of a request from log files. Example: sapphirectl explain 22012ec62216ca9d edge-*.log"`
	Where      WhereCommand      `cmd:"" help:"Show where a request would go now, without sending it. Example: sapphirectl where --at 10.0.0.7:7002 --route desk --account acme --tokens 1460,80"`
	HashKey    HashKeyCommand    `cmd:"" help:"Print the hash of a key or token read from standard input. Example: sapphirectl hash-key < key.txt"`
	Completion CompletionCommand `cmd:"" help:"Print a completion script. Example: sapphirectl completion bash > /etc/bash_completion.d/sapphirectl"`
	Version    VersionCommand    `cmd:"" help:"Print the version. Example: sapphirectl version"`
}

// Session holds the connection and the streams that the commands share.
type Session struct {
	connection *Connection
	clock      *clock.Clock
	input      io.Reader
	output     io.Writer
	errors     io.Writer
	edit       func(file string) error
	version    string
}

// NewSession returns a session over the streams. The function edit opens a file in the
// operator's editor.
func NewSession(connection *Connection, clock *clock.Clock, input io.Reader, output, errors io.Writer, edit func(file string) error, version string) *Session {
	return &Session{connection: connection, clock: clock, input: input, output: output, errors: errors, edit: edit, version: version}
}

// client returns a client of the entry host. Errors: *UsageError.
func (session *Session) client() (*operatorhttp.Client, error) {
	connection := session.connection
	switch {
	case connection.Address == "":
		return nil, newUsageError("no entry host is named: give --address or set SAPPHIRE_ADDRESS")
	case connection.Token == "":
		return nil, newUsageError("no token is given: give --token or set SAPPHIRE_TOKEN")
	}
	certificates, err := connection.certificates()
	if err != nil {
		return nil, err
	}
	return operatorhttp.NewClient(connection.Address, connection.Token, certificates, session.clock, callTimeout), nil
}

func (connection *Connection) certificates() (*tls.Config, error) {
	if connection.CA == "" && connection.Cert == "" {
		return nil, nil
	}
	config, err := keys.ClientConfig(os.ReadFile, keys.NewFiles(connection.Cert, connection.Key, connection.CA))
	if err != nil {
		return nil, newUsageError(err.Error())
	}
	return config, nil
}

// json reports whether the output is JSON, and writes the form if so.
func (session *Session) json(form any) (bool, error) {
	if session.connection.Output != outputJSON {
		return false, nil
	}
	encoder := json.NewEncoder(session.output)
	encoder.SetIndent("", "  ")
	return true, errors.Wrap(encoder.Encode(form), "write output")
}

// Main parses the arguments, runs the command and returns the exit status.
func Main(arguments []string, clock *clock.Clock, input io.Reader, output, errorOutput io.Writer, edit func(file string) error, version string) int {
	var line CommandLine
	status := -1
	parser, err := kong.New(&line, kong.Name("sapphirectl"), kong.Writers(output, errorOutput), kong.UsageOnError(),
		kong.Exit(func(code int) { status = code }),
		kong.Description("Edits and shows the tables of routes and pools, and shows the state of the system. "+
			"Exit statuses: "+statusesText()))
	if err != nil {
		panic(err)
	}
	context, err := parser.Parse(arguments)
	if status >= 0 {
		return status
	}
	if err == nil {
		err = context.Run(NewSession(&line.Connection, clock, input, output, errorOutput, edit, version), parser)
	} else {
		err = newUsageError(err.Error())
	}
	if err != nil {
		fmt.Fprintf(errorOutput, "sapphirectl: %v\n", err)
		if advice := Advice(err); advice != "" {
			fmt.Fprintf(errorOutput, "next: %s\n", advice)
		}
	}
	return int(StatusOf(err))
}

// VersionCommand prints the version.
type VersionCommand struct{}

// Run prints the version.
func (command *VersionCommand) Run(session *Session) error {
	done, err := session.json(versionForm{Version: session.version})
	if !done {
		_, err = fmt.Fprintln(session.output, session.version)
	}
	return err
}

type versionForm struct {
	Version string `json:"version"`
}

func background() context.Context { return context.Background() }
