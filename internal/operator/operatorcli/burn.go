package operatorcli

import (
	"fmt"
	"os"
	"text/tabwriter"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/operator/operatorhttp"
)

// BurnCommand shows the service-level burn.
type BurnCommand struct {
	HTML string `help:"Write the report as one HTML page with plots to this file." name:"html" type:"path"`
}

// Run prints the burn over all live nodes.
func (command *BurnCommand) Run(session *Session) error {
	client, err := session.client()
	if err != nil {
		return err
	}
	report, err := client.Burn(background())
	if err != nil {
		return err
	}
	if command.HTML != "" {
		return session.writeBurnPage(command.HTML, report)
	}
	if done, err := session.json(operatorhttp.BurnJSON(report)); done {
		return err
	}
	return session.printBurn(report)
}

func (session *Session) writeBurnPage(file string, report burn.Report) error {
	page, err := burnPage(report, session.clock.Wall())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, page, 0o644); err != nil {
		return newUsageError(err.Error())
	}
	_, err = fmt.Fprintf(session.output, "wrote %s\n", file)
	return err
}

func (session *Session) printBurn(report burn.Report) error {
	fmt.Fprintf(session.output, "objective %g in 100 over %d nodes", report.Objective()*100, report.Nodes())
	if report.Missing() > 0 {
		fmt.Fprintf(session.output, "; %d live nodes gave no report", report.Missing())
	}
	fmt.Fprint(session.output, "\n\n")
	writer := tabwriter.NewWriter(session.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "ROUTE\tCLIENT ACCOUNT\tALARM\tBURN 5M\tBURN 1H\tBURN 6H\tGOOD 1H\tLATE FIRST\tLATE BETWEEN\tLATE WHOLE\tREFUSED\tFAILED\tWORTH 1H")
	for _, row := range report.Rows() {
		hour := row.Counts(burn.Window1Hour)
		fmt.Fprintf(writer, "%s\t%s\t%s", row.Route(), row.Account(), row.Alarm(report.Objective()))
		for window := range burn.WindowCount {
			fmt.Fprintf(writer, "\t%.2f", row.Counts(burn.Window(window)).Rate(report.Objective()))
		}
		for outcome := range burn.OutcomeCount {
			fmt.Fprintf(writer, "\t%d", hour.Count(burn.Outcome(outcome)))
		}
		fmt.Fprintf(writer, "\t%g\n", hour.Worth())
	}
	return writer.Flush()
}
