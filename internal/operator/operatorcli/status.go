package operatorcli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
)

func timeText(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }

// StatusCommand shows the state of the system.
type StatusCommand struct{}

type nodeForm struct {
	Host          string `json:"host"`
	DataCentre    string `json:"dataCentre"`
	TablesVersion int64  `json:"tablesVersion"`
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
}

type leaseForm struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

type serverForm struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Leaving    bool   `json:"leaving"`
	Circuit    string `json:"circuit"`
	InFlight   int64  `json:"inFlight"`
	Failures   int64  `json:"failures"`
}

type statusForm struct {
	Version int64        `json:"version"`
	InForce int          `json:"inForce"`
	Nodes   []nodeForm   `json:"nodes"`
	Leases  []leaseForm  `json:"leases"`
	Servers []serverForm `json:"backendServers"`
	Note    string       `json:"note,omitempty"`
}

// Run prints the report of one entry host.
func (command *StatusCommand) Run(session *Session) error {
	client, err := session.client()
	if err != nil {
		return err
	}
	status, err := client.Status(background())
	if err != nil {
		return err
	}
	form := statusFormOf(status)
	leases, err := client.Leases(background())
	if err != nil {
		form.Note = "the leases could not be read: " + err.Error()
	}
	for _, lease := range leases {
		form.Leases = append(form.Leases, leaseForm{Name: lease.Name(), Holder: lease.Holder(), Fence: lease.Fence()})
	}
	if done, err := session.json(form); done {
		return err
	}
	return form.print(session.output)
}

func statusFormOf(status operator.Status) statusForm {
	form := statusForm{Leases: []leaseForm{}, Servers: []serverForm{}}
	for _, member := range append([]node.Member{status.Self()}, status.Members()...) {
		form.Version = max(form.Version, member.TablesVersion())
		form.Nodes = append(form.Nodes, nodeForm{
			Host: member.Host(), DataCentre: member.DataCentre(), TablesVersion: member.TablesVersion(),
			Ready: member.Ready(), Stopping: member.Stopping(),
		})
	}
	form.InForce, _ = status.ActiveCount(form.Version)
	for _, server := range status.Servers() {
		form.Servers = append(form.Servers, serverForm{
			ID: server.ID(), DataCentre: server.DataCentre(), Pool: server.Pool(), Leaving: server.Leaving(),
			Circuit: server.Circuit(), InFlight: server.InFlight(), Failures: server.Failures(),
		})
	}
	return form
}

func (form statusForm) print(output io.Writer) error {
	fmt.Fprintf(output, "tables version %d in force on %d of %d nodes\n\n", form.Version, form.InForce, len(form.Nodes))
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "NODE\tDATA CENTRE\tTABLES\tREADY\tSTOPPING")
	for _, node := range form.Nodes {
		fmt.Fprintf(writer, "%s\t%s\t%d\t%t\t%t\n", node.Host, node.DataCentre, node.TablesVersion, node.Ready, node.Stopping)
	}
	fmt.Fprintln(writer, "\nLEASE\tHOLDER\tFENCING NUMBER")
	for _, lease := range form.Leases {
		fmt.Fprintf(writer, "%s\t%s\t%d\n", lease.Name, lease.Holder, lease.Fence)
	}
	fmt.Fprintln(writer, "\nBACKEND SERVER\tDATA CENTRE\tPOOL\tLEAVING\tCIRCUIT\tIN FLIGHT\tFAILURES")
	for _, server := range form.Servers {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%t\t%s\t%d\t%d\n", server.ID, server.DataCentre, server.Pool, server.Leaving, server.Circuit, server.InFlight, server.Failures)
	}
	if form.Note != "" {
		fmt.Fprintf(writer, "\n%s\n", form.Note)
	}
	return writer.Flush()
}

// DrainCommand holds the two kinds of drain.
type DrainCommand struct {
	Node   DrainNode   `cmd:"" help:"Stop an entry host gracefully. Example: sapphirectl drain node entry-1"`
	Server DrainServer `cmd:"" help:"Mark a backend server as leaving, for good. Example: sapphirectl drain server host-7"`
}

type drainedForm struct {
	Node   string `json:"node,omitempty"`
	Server string `json:"backendServer,omitempty"`
}

// DrainNode stops an entry host.
type DrainNode struct {
	Host string `arg:"" help:"Name of the entry host."`
}

// Run requests the entry host to stop gracefully.
func (command *DrainNode) Run(session *Session) error {
	client, err := session.client()
	if err != nil {
		return err
	}
	if err := client.DrainNode(background(), command.Host); err != nil {
		return err
	}
	done, err := session.json(drainedForm{Node: command.Host})
	if !done {
		_, err = fmt.Fprintf(session.output, "%s is stopping: it finishes what it has and takes nothing new\n", command.Host)
	}
	return err
}

// DrainServer marks a backend server as leaving.
type DrainServer struct {
	ID string `arg:"" help:"Id of the backend server."`
}

// Run marks the backend server as leaving.
func (command *DrainServer) Run(session *Session) error {
	client, err := session.client()
	if err != nil {
		return err
	}
	if err := client.DrainServer(background(), command.ID); err != nil {
		return err
	}
	done, err := session.json(drainedForm{Server: command.ID})
	if !done {
		_, err = fmt.Fprintf(session.output, "%s is leaving: it gets no new work\n", command.ID)
	}
	return err
}
