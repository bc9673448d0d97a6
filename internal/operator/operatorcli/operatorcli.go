// Package operatorcli holds the commands of sapphirectl. The exported fields
// of the commands are filled by kong through reflection.
package operatorcli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

const (
	callTimeout = 10 * clock.Second
	// inForceTimeout is how long apply waits until all live nodes have an edit.
	inForceTimeout = 10 * clock.Second
	inForceRound   = 100 * clock.Millisecond
)

// Connection names the entry host and the token.
type Connection struct {
	Address string `help:"Operators' address of any entry host." env:"SAPPHIRE_ADDRESS" required:""`
	Token   string `help:"Operators' token." env:"SAPPHIRE_TOKEN" required:""`
}

func (connection *Connection) client() *operatorhttp.Client {
	return operatorhttp.NewClient(connection.Address, connection.Token, clock.System(), callTimeout)
}

// CommandLine is the command line of sapphirectl.
type CommandLine struct {
	Connection
	Apply   ApplyCommand     `cmd:"" help:"Make the tables say what a file says."`
	Get     GetCommand       `cmd:"" help:"Print the tables as TOML."`
	Status  StatusCommand    `cmd:"" help:"Show nodes, tables in force and backend servers."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// ApplyCommand writes the rows of a file.
type ApplyCommand struct {
	File string `help:"File with both tables." short:"f" required:"" type:"existingfile"`
	Wait bool   `help:"Wait until all live nodes have the edit in force."`
}

// Run applies the file.
func (command *ApplyCommand) Run(connection *Connection) error {
	data, err := os.ReadFile(command.File)
	if err != nil {
		return err
	}
	wanted, err := tablecodec.DecodeTOML(data)
	if err != nil {
		return errors.Wrap(err, command.File)
	}
	if err := wanted.Check(); err != nil {
		return errors.Wrap(err, command.File)
	}
	client := connection.client()
	ctx := context.Background()
	stored, err := client.Tables(ctx)
	if err != nil {
		return err
	}
	edit := stored.Difference(newEditID(), wanted)
	if len(edit.Rows()) == 0 {
		fmt.Println("nothing to change")
		return nil
	}
	version, err := client.Commit(ctx, edit)
	if err != nil {
		return err
	}
	fmt.Printf("committed version %d: %d rows changed\n", version, len(edit.Rows()))
	if command.Wait {
		return waitInForce(ctx, client, version)
	}
	return nil
}

func newEditID() string {
	var bytes [12]byte
	rand.Read(bytes[:])
	return "edit-" + hex.EncodeToString(bytes[:])
}

func waitInForce(ctx context.Context, client *operatorhttp.Client, version int64) error {
	system := clock.System()
	deadline := system.Now() + inForceTimeout
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		have, all := status.InForce(version)
		if have == all {
			fmt.Printf("in force on %d of %d nodes\n", have, all)
			return nil
		}
		if system.Now() >= deadline {
			return errors.Errorf("in force on %d of %d nodes only: see sapphirectl status", have, all)
		}
		if err := system.Wait(ctx, inForceRound); err != nil {
			return err
		}
	}
}

// GetCommand prints the tables.
type GetCommand struct{}

// Run prints the tables as the platform stores them.
func (command *GetCommand) Run(connection *Connection) error {
	tables, err := connection.client().Tables(context.Background())
	if err != nil {
		return err
	}
	return printTables(tables)
}

func printTables(tables *table.Tables) error {
	data, err := tablecodec.EncodeTOML(tables)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

// StatusCommand shows the state of the system.
type StatusCommand struct{}

// Run prints the report of one entry host.
func (command *StatusCommand) Run(connection *Connection) error {
	status, err := connection.client().Status(context.Background())
	if err != nil {
		return err
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "NODE\tDATA CENTRE\tTABLES\tREADY\tSTOPPING")
	self := status.Self()
	fmt.Fprintf(writer, "%s\t%s\t%d\t%t\t%t\n", self.Host(), self.DataCentre(), self.TablesVersion(), self.Ready(), self.Stopping())
	for _, member := range status.Members() {
		fmt.Fprintf(writer, "%s\t%s\t%d\t%t\t%t\n", member.Host(), member.DataCentre(), member.TablesVersion(), member.Ready(), member.Stopping())
	}
	fmt.Fprintln(writer, "\nBACKEND SERVER\tDATA CENTRE\tPOOL\tLEAVING\tIN FLIGHT\tFAILURES")
	for _, server := range status.Servers() {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%t\t%d\t%d\n", server.ID(), server.DataCentre(), server.Pool(), server.Leaving(), server.InFlight(), server.Failures())
	}
	return writer.Flush()
}
