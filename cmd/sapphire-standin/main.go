// Command sapphire-standin runs small stand-ins for the systems around sapphirehead,
// the demonstration and measurements. It is for tests only.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/program"
	"sapphirehead/internal/slopes/nodeslope"
	"sapphirehead/internal/slopes/requestslope"
	"sapphirehead/internal/slopes/stewardslope"
	"sapphirehead/internal/standin/cloudstandin"
	"sapphirehead/internal/standin/demo"
	"sapphirehead/internal/standin/overhead"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/runnerstandin"
	"sapphirehead/internal/standin/servicestandin"
	"sapphirehead/internal/standin/standinhttp"
	"sapphirehead/internal/standin/weightstandin"
)

type commandLine struct {
	Platform      platformCommand      `cmd:"" help:"Object API and list of hosts."`
	Cloud         cloudCommand         `cmd:"" help:"Cloud API; hosts that it starts are runners within this process."`
	Weightstore   weightstoreCommand   `cmd:"" help:"Weight store."`
	Runner        runnerCommand        `cmd:"" help:"One model runner."`
	Service       serviceCommand       `cmd:"" help:"One application service."`
	Slopes        slopesCommand        `cmd:"" help:"Measure the cost of requests at an entry host."`
	Overhead      overheadCommand      `cmd:"" help:"Measure the time that an entry host adds to each streamed token."`
	StewardSlopes stewardSlopesCommand `cmd:"" help:"Measure the costs of a steward."`
	NodeSlopes    nodeSlopesCommand    `cmd:"" help:"Measure the cost of peer nodes and edits at a node."`
	Demo          demoCommand          `cmd:"" help:"Start a whole system on loopback, send requests and check each answer."`
}

const serverName = "api"

func serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stop, _ := program.Signals()
	program.PrintListening(map[string]string{serverName: listener.Addr().String()})
	return standinhttp.Serve(stop, listener, handler)
}

type platformCommand struct {
	LagMillis int64 `help:"Delay of the list of hosts." default:"300"`
}

// Run serves the platform.
func (command *platformCommand) Run() error {
	return serve(platformstandin.New(clock.System(), clock.Millis(command.LagMillis)).Router())
}

type weightstoreCommand struct {
	LoadsPerSecond float64 `help:"Limit of loads." default:"10"`
}

// Run serves the weight store.
func (command *weightstoreCommand) Run() error {
	return serve(weightstandin.New(command.LoadsPerSecond).Router())
}

type runnerCommand struct {
	Platform     string   `help:"Address of the platform, where the runner is listed." required:""`
	ID           string   `help:"Identity of the host." required:""`
	DataCentre   string   `help:"Data centre of the host." required:""`
	HostClass    string   `help:"Class of the host." default:"gpu-small"`
	Pool         string   `help:"Pool of the runner." default:"runners"`
	Model        []string `help:"Models served from the start."`
	Slots        int      `help:"Requests that run at the same time." default:"8"`
	DecodeMillis int64    `help:"Time for one token." default:"10"`
	IgnoresFence bool     `help:"Accept orders with old fencing tokens."`
}

// Run serves the runner.
func (command *runnerCommand) Run() error {
	stop, kill := program.Signals()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	host := platformstandin.Host{
		ID: command.ID, Address: listener.Addr().String(), DataCentre: command.DataCentre, HostClass: command.HostClass, Pool: command.Pool, State: "live",
	}
	if err := platformstandin.Register(stop, command.Platform, host); err != nil {
		return err
	}
	program.PrintListening(map[string]string{serverName: listener.Addr().String()})
	runner := runnerstandin.New(kill, clock.System(), command.ID, command.Slots, clock.Millis(command.DecodeMillis), command.Model, command.IgnoresFence)
	context.AfterFunc(stop, runner.SetLeaving)
	return standinhttp.ServeGracefully(stop, kill, listener, runner.Router())
}

type serviceCommand struct {
	Platform   string `help:"Address of the platform, where the service is listed." required:""`
	ID         string `help:"Identity of the host." required:""`
	DataCentre string `help:"Data centre of the host." required:""`
	Pool       string `help:"Pool of the service." required:""`
	WorkMillis int64  `help:"Time for one call." default:"5"`
}

// Run serves the application service.
func (command *serviceCommand) Run() error {
	stop, kill := program.Signals()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	host := platformstandin.Host{ID: command.ID, Address: listener.Addr().String(), DataCentre: command.DataCentre, HostClass: "plain", Pool: command.Pool, State: "live"}
	if err := platformstandin.Register(stop, command.Platform, host); err != nil {
		return err
	}
	program.PrintListening(map[string]string{serverName: listener.Addr().String()})
	return standinhttp.ServeGracefully(stop, kill, listener, servicestandin.New(clock.System(), command.ID, clock.Millis(command.WorkMillis)).Router())
}

type cloudCommand struct {
	Platform     string   `help:"Address of the platform, where started hosts are listed." required:""`
	DataCentre   []string `help:"Data centres that offer hosts." required:""`
	HostClass    string   `help:"Class of the offered hosts." default:"gpu-small"`
	Capacity     int      `help:"Hosts of the class in each data centre." default:"4"`
	DecodeMillis int64    `help:"Time for one token of a started runner." default:"10"`
}

// Run serves the cloud API.
func (command *cloudCommand) Run() error {
	hosts := &startedHosts{command: command, cancels: map[string]context.CancelFunc{}, runners: map[string]*runnerstandin.Runner{}}
	var offers []cloudstandin.Offer
	for _, dataCentre := range command.DataCentre {
		offers = append(offers,
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: command.HostClass, Reclaimable: true, PricePerHour: 1, Capacity: command.Capacity},
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: command.HostClass, PricePerHour: 3, Capacity: command.Capacity})
	}
	return serve(cloudstandin.New(clock.System(), offers, hosts.start, hosts.markLeaving, hosts.stop).Router())
}

// startedHosts holds the runners that the cloud API started in this process.
type startedHosts struct {
	command *cloudCommand
	mutex   sync.Mutex
	cancels map[string]context.CancelFunc
	runners map[string]*runnerstandin.Runner
}

func (hosts *startedHosts) start(host cloudstandin.Host) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	listed := platformstandin.Host{
		ID: host.ID, Address: listener.Addr().String(), DataCentre: host.DataCentre, HostClass: host.HostClass, Pool: host.Pool, State: "live",
	}
	if err := platformstandin.Register(ctx, hosts.command.Platform, listed); err != nil {
		cancel()
		return err
	}
	runner := runnerstandin.New(ctx, clock.System(), host.ID, 8, clock.Millis(hosts.command.DecodeMillis), nil, false)
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	hosts.cancels[host.ID] = cancel
	hosts.runners[host.ID] = runner
	go func() { _ = standinhttp.Serve(ctx, listener, runner.Router()) }()
	return nil
}

func (hosts *startedHosts) markLeaving(host cloudstandin.Host, _ clock.Millis) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	if runner, ok := hosts.runners[host.ID]; ok {
		runner.SetLeaving()
	}
}

func (hosts *startedHosts) stop(host cloudstandin.Host) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	if cancel, ok := hosts.cancels[host.ID]; ok {
		cancel()
	}
	_ = platformstandin.Unregister(context.Background(), hosts.command.Platform, host.ID)
}

type demoCommand struct {
	Bin string `help:"Folder with the programs." default:"bin" type:"existingdir"`
}

// Run runs the demonstration with the programs in the folder.
func (command *demoCommand) Run() error {
	return demo.Run(command.Bin)
}

type overheadCommand struct {
	Bin string `help:"Folder with the programs." default:"bin" type:"existingdir"`
}

// Run measures and prints the overhead.
func (command *overheadCommand) Run() error { return overhead.Run(os.Stdout, command.Bin) }

type slopesCommand struct {
	Bin string `help:"Folder with the programs." default:"bin" type:"existingdir"`
}

// Run measures and prints the slopes.
func (command *slopesCommand) Run() error {
	slopes, err := requestslope.Measure(context.Background(), command.Bin)
	if err != nil {
		return err
	}
	return slopes.Print(os.Stdout)
}

type stewardSlopesCommand struct {
	Bin string `help:"Folder with the programs." default:"bin" type:"existingdir"`
}

// Run measures and prints the costs of a steward.
func (command *stewardSlopesCommand) Run() error {
	return stewardslope.Report(context.Background(), os.Stdout, command.Bin)
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("sapphire-standin"), kong.Description("Stand-ins for tests."))
	context.FatalIfErrorf(context.Run())
}

type nodeSlopesCommand struct {
	Nodes []int `help:"Sizes of the clusters." default:"5,20,80,380"`
}

// Run measures and prints the slopes.
func (command *nodeSlopesCommand) Run() error {
	var slopes []*nodeslope.Slope
	var failed error
	for _, nodes := range command.Nodes {
		slope, err := nodeslope.Measure(nodes)
		if err != nil {
			failed = err
			continue
		}
		slopes = append(slopes, slope)
	}
	if err := nodeslope.Print(os.Stdout, slopes); err != nil {
		return err
	}
	return failed
}
