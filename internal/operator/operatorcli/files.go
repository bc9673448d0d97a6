package operatorcli

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// readTables reads and checks a file with both tables. Errors: *UsageError,
// *InvalidError.
func readTables(file string) (*table.Tables, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, newUsageError(err.Error())
	}
	tables, err := tablecodec.DecodeTOML(data)
	if err == nil {
		err = tables.Check()
	}
	if err != nil {
		return nil, &InvalidError{file: file, cause: err}
	}
	return tables, nil
}

// ApplyCommand writes the rows of a file.
type ApplyCommand struct {
	EditFlags
	File string `help:"File with both tables." short:"f" required:"" type:"path"`
}

// Run applies the file.
func (command *ApplyCommand) Run(session *Session) error {
	wanted, err := readTables(command.File)
	if err != nil {
		return err
	}
	client, stored, err := session.loadTables()
	if err != nil {
		return err
	}
	if done, err := session.alreadyCommitted(stored, command.EditFlags); done {
		return err
	}
	return session.commit(client, stored.Difference(command.id(), wanted), command.EditFlags)
}

// DiffCommand shows the changes that apply would make.
type DiffCommand struct {
	File string `help:"File with both tables." short:"f" required:"" type:"path"`
}

// Run shows the difference.
func (command *DiffCommand) Run(session *Session) error {
	wanted, err := readTables(command.File)
	if err != nil {
		return err
	}
	_, stored, err := session.loadTables()
	if err != nil {
		return err
	}
	rows := stored.Difference("diff", wanted).Rows()
	done, err := session.json(diffForm{Version: stored.Version(), Rows: append([]string{}, rows...)})
	if done {
		return err
	}
	if len(rows) == 0 {
		_, err = fmt.Fprintln(session.output, "no difference")
		return err
	}
	return session.printDifference(rows, stored, wanted)
}

type diffForm struct {
	Version int64    `json:"version"`
	Rows    []string `json:"rows"`
}

// printDifference prints the changed lines of the named rows: "-" for a line of the
// tables before, "+" for one of the tables after.
func (session *Session) printDifference(rows []string, before, after *table.Tables) error {
	for _, row := range rows {
		old, err := rowText(before, row)
		if err != nil {
			return err
		}
		changed, err := rowText(after, row)
		if err != nil {
			return err
		}
		fmt.Fprintln(session.output, row)
		for _, line := range old {
			if !contains(changed, line) {
				fmt.Fprintln(session.output, "  -", line)
			}
		}
		for _, line := range changed {
			if !contains(old, line) {
				fmt.Fprintln(session.output, "  +", line)
			}
		}
	}
	return nil
}

func contains(lines []string, line string) bool {
	for _, other := range lines {
		if other == line {
			return true
		}
	}
	return false
}

// rowText returns the lines of a row in TOML, without its revision, or none
// if the tables lack it.
func rowText(tables *table.Tables, row string) ([]string, error) {
	single, ok := selectRow(tables, row)
	if !ok {
		return nil, nil
	}
	data, err := encodeRow(single)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "[") && !strings.HasPrefix(line, "revision =") {
			lines = append(lines, line)
		}
	}
	return lines, nil
}

// encodeRow writes tables with one row as TOML, without the empty table.
func encodeRow(single *table.Tables) ([]byte, error) {
	data, err := tablecodec.EncodeTOML(single)
	if err != nil {
		return nil, err
	}
	data = bytes.Replace(data, []byte("routes = []\n"), nil, 1)
	return bytes.TrimLeft(bytes.Replace(data, []byte("pools = []\n"), nil, 1), "\n"), nil
}

// CheckCommand checks a file offline.
type CheckCommand struct {
	File string `help:"File with both tables." short:"f" required:"" type:"path"`
}

// Run checks the file.
func (command *CheckCommand) Run(session *Session) error {
	tables, err := readTables(command.File)
	if err != nil {
		return err
	}
	done, err := session.json(checkForm{Routes: len(tables.Routes()), Pools: len(tables.Pools())})
	if !done {
		_, err = fmt.Fprintf(session.output, "%s is valid: %d routes, %d pools\n", command.File, len(tables.Routes()), len(tables.Pools()))
	}
	return err
}

type checkForm struct {
	Routes int `json:"routes"`
	Pools  int `json:"pools"`
}

// GetCommand prints the tables.
type GetCommand struct{}

// Run prints the tables as the platform stores them.
func (command *GetCommand) Run(session *Session) error {
	_, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	return session.printTables(tables)
}

func (session *Session) printTables(tables *table.Tables) error {
	encode := tablecodec.EncodeTOML
	if session.connection.Output == outputJSON {
		encode = tablecodec.EncodeJSON
	}
	data, err := encode(tables)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(session.output, strings.TrimRight(string(data), "\n"))
	return err
}
