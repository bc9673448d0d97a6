package operatorcli

import (
	"fmt"
	"text/tabwriter"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
)

// RolloutsCommand shows the rollouts of software versions.
type RolloutsCommand struct {
	At string `help:"Metrics address of any node of sapphire-edge, such as 10.0.0.7:7101." name:"at" required:"" placeholder:"HOST:PORT"`
}

// Run prints the rollouts that the node knows.
func (command *RolloutsCommand) Run(session *Session) error {
	form, err := operatorhttp.Rollouts(background(), session.clock, command.At, callTimeout)
	if err != nil {
		return err
	}
	if done, err := session.json(form); done {
		return err
	}
	switch {
	case !form.On:
		fmt.Fprintf(session.output, "rollouts are off at %s: bounds.exposureShare is 0\n", form.Host)
	case len(form.Rollouts) == 0:
		fmt.Fprintf(session.output, "%s knows no rollouts\n", form.Host)
	}
	for _, rollout := range form.Rollouts {
		if err := session.printRollout(rollout); err != nil {
			return err
		}
	}
	return nil
}

func (session *Session) printRollout(rollout operatorhttp.RolloutForm) error {
	fmt.Fprintf(session.output, "%s to %s: %s, share %.2g", rollout.Pool, rollout.Version, rollout.State, rollout.Share)
	switch {
	case rollout.Withdrawn:
		fmt.Fprint(session.output, ", withdrawn")
	case rollout.LeftMillis > 0:
		fmt.Fprintf(session.output, ", %.1f s of %.1f s left", seconds(rollout.LeftMillis), seconds(rollout.DurationMillis))
	}
	fmt.Fprintln(session.output)
	for _, line := range []struct{ name, text string }{{"reason", rollout.Reason}, {"waiting", rollout.Waiting}, {"evidence", rollout.Evidence}} {
		if line.text != "" {
			fmt.Fprintf(session.output, "  %s: %s\n", line.name, line.text)
		}
	}
	if rollout.Halted {
		fmt.Fprintln(session.output, "  this node sends the version no more requests")
	}
	for _, servers := range rollout.Servers {
		fmt.Fprintf(session.output, "  %d servers of %s\n", servers.Servers, servers.Version)
	}
	if len(rollout.Routes) == 0 {
		return nil
	}
	writer := tabwriter.NewWriter(session.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "  ROUTE\tVERSION\tANSWERS\tFAILED\tSLOW\tCRASHES")
	for _, route := range rollout.Routes {
		for _, row := range []struct {
			version string
			count   operatorhttp.RolloutCountForm
		}{{rollout.Version, route.Ordered}, {"others", route.Others}} {
			fmt.Fprintf(writer, "  %s\t%s\t%d\t%d\t%d\t%.1f\n", route.Route, row.version, row.count.Answers, row.count.Failed, row.count.Slow, row.count.Crashes)
		}
	}
	return writer.Flush()
}

func seconds(millis int64) float64 { return float64(millis) / float64(clock.Second) }
