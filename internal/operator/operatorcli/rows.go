package operatorcli

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// RowCommands are the commands of one table.
type RowCommands struct {
	List    ListRows   `cmd:"" help:"List the rows. Example: sapphirectl routes list"`
	Get     GetRow     `cmd:"" help:"Print a row as TOML. Example: sapphirectl routes get desk"`
	Edit    EditRow    `cmd:"" help:"Change a row in $$EDITOR, or add one. Example: EDITOR=vi sapphirectl routes edit desk --wait"`
	Delete  DeleteRow  `cmd:"" help:"Delete a row. Example: sapphirectl pools delete old-runners"`
	History RowHistory `cmd:"" help:"Show who changed rows, when and how. Example: sapphirectl routes history desk"`
	Revert  RevertRow  `cmd:"" help:"Restore an earlier state of a row by a new edit. Example: sapphirectl routes revert desk --version 41"`
}

// rowTable is one of the two tables.
type rowTable struct {
	name    string
	rowName func(name string) string
}

// RoutesCommand holds the commands of the table of routes.
type RoutesCommand struct{ RowCommands }

// AfterApply binds the table for the subcommands.
func (command *RoutesCommand) AfterApply(context *kong.Context) error {
	context.Bind(&rowTable{name: "routes", rowName: table.RouteRow})
	return nil
}

// PoolsCommand holds the commands of the table of pools.
type PoolsCommand struct{ RowCommands }

// AfterApply binds the table for the subcommands.
func (command *PoolsCommand) AfterApply(context *kong.Context) error {
	context.Bind(&rowTable{name: "pools", rowName: table.PoolRow})
	return nil
}

// selectRow returns tables that hold only the row.
func selectRow(tables *table.Tables, row string) (*table.Tables, bool) {
	if name, ok := strings.CutPrefix(row, table.RouteRow("")); ok {
		found, ok := tables.Route(name)
		return table.New(0, []route.Route{found}, nil, nil), ok
	}
	name, _ := strings.CutPrefix(row, table.PoolRow(""))
	found, ok := tables.Pool(name)
	return table.New(0, nil, []pool.Pool{found}, nil), ok
}

// setRow adds to the edit the row in the wanted tables, or its removal if they lack
// it.
func setRow(edit *table.Edit, row string, wanted *table.Tables, revision int64) {
	single, ok := selectRow(wanted, row)
	if !ok {
		edit.Remove(row, revision)
		return
	}
	for _, found := range single.Routes() {
		edit.SetRoute(found, revision)
	}
	for _, found := range single.Pools() {
		edit.SetPool(found, revision)
	}
}

// revisionOf returns the revision of the row, or 0 if the tables lack it.
func revisionOf(tables *table.Tables, row string) int64 {
	single, ok := selectRow(tables, row)
	if !ok {
		return 0
	}
	if routes := single.Routes(); len(routes) > 0 {
		return routes[0].Revision()
	}
	return single.Pools()[0].Revision()
}

// loadTables returns a client and the tables as the platform stores them.
func (session *Session) loadTables() (*operatorhttp.Client, *table.Tables, error) {
	client, err := session.client()
	if err != nil {
		return nil, nil, err
	}
	tables, err := client.Tables(background())
	return client, tables, err
}

// ListRows lists the rows of a table.
type ListRows struct{}

// Run prints the rows.
func (command *ListRows) Run(session *Session, target *rowTable) error {
	_, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	if session.connection.Output == outputJSON {
		return session.printTables(onlyTable(tables, target))
	}
	writer := tabwriter.NewWriter(session.output, 0, 0, 2, ' ', 0)
	if target.name == "routes" {
		fmt.Fprintln(writer, "NAME\tKIND\tPOOL\tMODEL OR PATH\tWORTH\tFIRST TOKEN\tBETWEEN TOKENS\tDEADLINE\tIDEMPOTENT\tREVISION")
		for _, row := range tables.Routes() {
			fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%g\t%d ms\t%d ms\t%d ms\t%t\t%d\n", row.Name(), row.Kind(), row.Pool(), row.Model()+row.Path(), row.Worth(),
				row.FirstToken(), row.BetweenTokens(), row.Deadline(), !row.NonIdempotent(), row.Revision())
		}
		return writer.Flush()
	}
	fmt.Fprintln(writer, "NAME\tKIND\tMODELS\tHOST CLASS\tHOSTS\tSLOTS\tREVISION")
	for _, row := range tables.Pools() {
		var models []string
		for _, model := range row.Models() {
			models = append(models, model.Name()+":"+model.Version())
		}
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%d to %d\t%d\t%d\n", row.Name(), row.Kind(), strings.Join(models, " "), row.HostClass(),
			row.MinHosts(), row.MaxHosts(), row.Slots(), row.Revision())
	}
	return writer.Flush()
}

func onlyTable(tables *table.Tables, target *rowTable) *table.Tables {
	if target.name == "routes" {
		return table.New(tables.Version(), tables.Routes(), nil, nil)
	}
	return table.New(tables.Version(), nil, tables.Pools(), nil)
}

// GetRow prints one row.
type GetRow struct {
	Name string `arg:"" help:"Name of the row."`
}

// Run prints the row.
func (command *GetRow) Run(session *Session, target *rowTable) error {
	_, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	single, ok := selectRow(tables, target.rowName(command.Name))
	if !ok {
		return newNoRowError(target, command.Name)
	}
	if session.connection.Output == outputJSON {
		return session.printTables(single)
	}
	data, err := encodeRow(single)
	if err != nil {
		return err
	}
	_, err = session.output.Write(data)
	return err
}

func newNoRowError(target *rowTable, name string) error {
	return newUsageError(fmt.Sprintf("there is no row %s: sapphirectl %s list shows them", target.rowName(name), target.name))
}

// DeleteRow deletes one row.
type DeleteRow struct {
	EditFlags
	Name string `arg:"" help:"Name of the row."`
}

// Run deletes the row.
func (command *DeleteRow) Run(session *Session, target *rowTable) error {
	client, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	if done, err := session.alreadyCommitted(tables, command.EditFlags); done {
		return err
	}
	revision := revisionOf(tables, target.rowName(command.Name))
	if revision == 0 {
		return newNoRowError(target, command.Name)
	}
	edit := table.NewEdit(command.id())
	edit.Remove(target.rowName(command.Name), revision)
	return session.commit(client, edit, command.EditFlags)
}

// EditRow changes one row in the operator's editor.
type EditRow struct {
	EditFlags
	Name string `arg:"" help:"Name of the row."`
}

// Run opens the editor and commits the changed row.
func (command *EditRow) Run(session *Session, target *rowTable) error {
	client, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	if done, err := session.alreadyCommitted(tables, command.EditFlags); done {
		return err
	}
	row := target.rowName(command.Name)
	single, ok := selectRow(tables, row)
	if !ok {
		single = newRow(target, command.Name)
	}
	data, err := encodeRow(single)
	if err != nil {
		return err
	}
	wanted, file, err := session.editFile(data)
	if err != nil {
		return err
	}
	if len(wanted.Routes())+len(wanted.Pools()) != 1 {
		return &InvalidError{file: file, cause: newUsageError("it must hold one row; delete a row with sapphirectl " + target.name + " delete")}
	}
	if _, ok := selectRow(wanted, row); !ok {
		return &InvalidError{file: file, cause: newUsageError("it must hold the row " + row + ": a row keeps its name")}
	}
	edit := table.NewEdit(command.id())
	if !sameRow(single, wanted) || !ok {
		setRow(edit, row, wanted, revisionOf(tables, row))
	}
	if err := session.commit(client, edit, command.EditFlags); err != nil {
		fmt.Fprintf(session.errors, "your text is kept in %s\n", file)
		return err
	}
	return os.Remove(file)
}

func sameRow(a, b *table.Tables) bool { return len(a.Difference("compare", b).Rows()) == 0 }

// newRow returns the template of a new row.
func newRow(target *rowTable, name string) *table.Tables {
	if target.name == "routes" {
		return table.New(0, []route.Route{route.New(name, route.KindChat, "").WithModel("")}, nil, nil)
	}
	return table.New(0, nil, []pool.Pool{pool.New(name, pool.KindRunner)}, nil)
}

// editFile opens the text in the operator's editor and returns the tables in it and
// the file. The file is kept, so that no input is lost.
func (session *Session) editFile(data []byte) (*table.Tables, string, error) {
	file, err := os.CreateTemp("", "sapphirectl-*.toml")
	if err != nil {
		return nil, "", err
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, "", err
	}
	if err := session.edit(file.Name()); err != nil {
		return nil, "", newUsageError("the editor failed: " + err.Error() + ": set EDITOR to your editor")
	}
	text, err := os.ReadFile(file.Name())
	if err != nil {
		return nil, "", err
	}
	wanted, err := tablecodec.DecodeTOML(text)
	if err != nil {
		return nil, "", &InvalidError{file: file.Name(), cause: err}
	}
	return wanted, file.Name(), nil
}

// RowHistory shows past edits.
type RowHistory struct {
	Name  string `arg:"" optional:"" help:"Name of the row; all rows without it."`
	Limit int    `help:"Number of edits." default:"20"`
}

type changeForm struct {
	Version  int64  `json:"version"`
	EditID   string `json:"editId"`
	By       string `json:"by"`
	AtMillis int64  `json:"atMillis"`
	Row      string `json:"row"`
	Change   string `json:"change"`
}

// Run prints the edits, newest first.
func (command *RowHistory) Run(session *Session, target *rowTable) error {
	client, err := session.client()
	if err != nil {
		return err
	}
	row := ""
	if command.Name != "" {
		row = target.rowName(command.Name)
	}
	records, err := client.History(background(), row, command.Limit)
	if err != nil {
		return err
	}
	forms := []changeForm{}
	for _, record := range records {
		for _, changed := range changedRows(record, target, row) {
			forms = append(forms, changeForm{
				Version: record.Version(), EditID: record.EditID(), By: record.By(), AtMillis: int64(record.At()), Row: changed, Change: changeOf(record, changed),
			})
		}
	}
	if done, err := session.json(forms); done {
		return err
	}
	for _, form := range forms {
		fmt.Fprintf(session.output, "version %d  %s  by %s  %s %s  %s\n", form.Version, timeText(form.AtMillis), form.By, form.Row, form.Change, form.EditID)
		record := records[slices.IndexFunc(records, func(record operator.Record) bool { return record.Version() == form.Version })]
		if err := session.printDifference([]string{form.Row}, record.Before(), record.After()); err != nil {
			return err
		}
	}
	return nil
}

func changedRows(record operator.Record, target *rowTable, filter string) []string {
	rows := record.Before().Difference("history", record.After()).Rows()
	return slices.DeleteFunc(rows, func(row string) bool {
		return filter != "" && row != filter || !strings.HasPrefix(row, target.rowName(""))
	})
}

func changeOf(record operator.Record, row string) string {
	_, before := selectRow(record.Before(), row)
	_, after := selectRow(record.After(), row)
	switch {
	case !before:
		return "added"
	case !after:
		return "deleted"
	default:
		return "changed"
	}
}

// RevertRow restores a row.
type RevertRow struct {
	EditFlags
	Name string `arg:"" help:"Name of the row."`
	To   int64  `help:"Version of the tables from which to restore the row; without it, the state before the latest change of the row." name:"version"`
}

// maxRevert is the maximum number of edits of the row that a revert searches.
const maxRevert = 256

// Run restores the row by a new edit.
func (command *RevertRow) Run(session *Session, target *rowTable) error {
	client, tables, err := session.loadTables()
	if err != nil {
		return err
	}
	if done, err := session.alreadyCommitted(tables, command.EditFlags); done {
		return err
	}
	row := target.rowName(command.Name)
	records, err := client.History(background(), row, maxRevert)
	if err != nil {
		return err
	}
	wanted, err := command.rowsAt(records, row)
	if err != nil {
		return err
	}
	edit := table.NewEdit(command.id())
	currentRow, isPresent := selectRow(tables, row)
	wantedRow, wasPresent := selectRow(wanted, row)
	if isPresent != wasPresent || isPresent && !sameRow(currentRow, wantedRow) {
		setRow(edit, row, wanted, revisionOf(tables, row))
	}
	return session.commit(client, edit, command.EditFlags)
}

// rowsAt returns the rows of the record with the wanted state of the row. Records are
// newest first.
func (command *RevertRow) rowsAt(records []operator.Record, row string) (*table.Tables, error) {
	if len(records) == 0 {
		return nil, newUsageError("the history has no edit of " + row)
	}
	if command.To == 0 {
		return records[0].Before(), nil
	}
	for _, record := range records {
		if record.Version() <= command.To {
			return record.After(), nil
		}
	}
	oldest := records[len(records)-1]
	if len(records) < maxRevert && revisionOf(oldest.Before(), row) <= command.To {
		return oldest.Before(), nil
	}
	return nil, newUsageError(fmt.Sprintf("the history of %s begins at version %d", row, oldest.Version()))
}
