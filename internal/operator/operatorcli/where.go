package operatorcli

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/placement/placementhttp"
)

// WhereCommand shows where a request would go now, without sending it.
type WhereCommand struct {
	At              string `help:"Metrics address of a node, such as 10.0.0.7:7002." required:""`
	Route           string `help:"Name of the route; or give --host and --path."`
	Host            string `help:"Host name of the request."`
	Path            string `help:"Path of the request."`
	Account         string `help:"Name of the client account."`
	Parts           string `help:"Parts of the prompt, as in X-Prompt-Prefix: id:tokens,id:tokens."`
	Tokens          string `help:"Tokens of the prompt and of the response, as in X-Token-Counts: 1460,80."`
	SoftwareVersion string `help:"Software version that began the stream that the request takes up."`
}

// Run asks the node and prints its answer.
func (command *WhereCommand) Run(session *Session) error {
	query := placementhttp.Query{
		Route: command.Route, Host: command.Host, Path: command.Path, Account: command.Account,
		Parts: command.Parts, Tokens: command.Tokens, SoftwareVersion: command.SoftwareVersion,
	}
	if err := query.Check(); err != nil {
		return newUsageError(err.Error())
	}
	answer, err := operatorhttp.Where(background(), command.At, query, session.clock, callTimeout)
	var refused *operatorhttp.RefusedError
	if errors.As(err, &refused) && refused.Status() == http.StatusBadRequest {
		return newUsageError(refused.Error())
	}
	if err != nil {
		return err
	}
	if done, err := session.json(answer); done {
		return err
	}
	return session.printWhere(answer)
}

func (session *Session) printWhere(answer placementhttp.Answer) error {
	writer := tabwriter.NewWriter(session.output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "at node %s, configuration %d", answer.Host, answer.Configuration)
	if answer.Route != "" {
		fmt.Fprintf(writer, ": route %s, pool %s, rank %d", answer.Route, answer.Pool, answer.Rank)
	}
	fmt.Fprintln(writer)
	switch {
	case answer.Admitted:
		fmt.Fprintf(writer, "it would be sent to %s\n", answer.Candidates[0].ID)
	case answer.RetryMillis > 0:
		fmt.Fprintf(writer, "it would be refused by %s: %s; again after %d ms\n", answer.Bound, answer.Reason, answer.RetryMillis)
	default:
		fmt.Fprintf(writer, "it would be refused by %s: %s\n", answer.Bound, answer.Reason)
	}
	if allotment := answer.Allotment; allotment != nil {
		fmt.Fprintf(writer, "allotment of %s: costs %d tokens, level %.0f, needs more than %.0f\n", answer.Account, allotment.Cost, allotment.Level, allotment.Needed)
	}
	if lateness := answer.Lateness; lateness != nil {
		fmt.Fprintf(writer, "lateness: first event expected after %.1f ms, refused after %.1f ms with a queue of at least %.1f ms; the queue is %.1f ms\n",
			lateness.Expected, lateness.Deadline, lateness.MinQueue, lateness.Queue)
	}
	if len(answer.Candidates) > 0 {
		fmt.Fprintln(writer, "\nCANDIDATE\tDATA CENTRE\tEXPECTED\tCOST\tCACHED\tTO PREFILL\tRATE\tREPORTED\tIN FLIGHT\tPENDING TOKENS\tPEERS' AGE\tNOTE")
	}
	for _, server := range answer.Candidates {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%d + %d\t%d + %d\t%d ms\t%s\n", server.ID, server.DataCentre, estimateText(server.Estimate), reportText(server.Reported),
			server.InFlight, server.PeerInFlight, server.Pending, server.PeerPending, server.PeersAge, noteText(server))
	}
	if len(answer.LeftOut) > 0 {
		fmt.Fprintln(writer, "\nLEFT OUT\tDATA CENTRE\tREASON\tREPORTED\tIN FLIGHT")
	}
	for _, server := range answer.LeftOut {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%d + %d\n", server.ID, server.DataCentre, noteText(server), reportText(server.Reported), server.InFlight, server.PeerInFlight)
	}
	return writer.Flush()
}

// estimateText returns the columns of the estimate.
func estimateText(estimate *placementhttp.Estimate) string {
	if estimate == nil {
		return "-\t-\t-\t-\t-"
	}
	return fmt.Sprintf("%.1f ms\t%.1f ms\t%.0f%%\t%d\t%.2f", estimate.Expected, estimate.Cost, 100*estimate.CachedShare, estimate.UncachedTokens, estimate.Rate)
}

func reportText(report *placementhttp.Report) string {
	if report == nil {
		return "nothing"
	}
	return fmt.Sprintf("%d + %d, %d ms ago", report.Running, report.Waiting, report.Age)
}

// noteText returns why the server is left out, and what is unusual about it.
func noteText(server placementhttp.Server) string {
	var notes []string
	if server.LeftOut != "" {
		notes = append(notes, server.LeftOut)
	}
	if server.LimitWait > 0 {
		notes = append(notes, fmt.Sprintf("for %d ms", server.LimitWait))
	}
	if server.NamedLimit > 0 {
		notes = append(notes, fmt.Sprintf("limit %g/s", server.NamedLimit))
	}
	if server.Estimate != nil && server.Estimate.Preferred {
		notes = append(notes, "preferred")
	}
	if server.Slowdown != nil {
		notes = append(notes, fmt.Sprintf("slowed %.2f times, %d ms ago", server.Slowdown.Factor, server.Slowdown.Age))
	}
	return strings.Join(notes, ", ")
}
