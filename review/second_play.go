//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/program"
)

// play is one run of a case: its record, its folder for settings, and its processes.
type play struct {
	clock    *clock.Clock
	start    clock.Millis
	trouble  bool
	folder   string
	mutex    sync.Mutex
	file     *os.File
	machines []*machine
}

func newPlay(path string, trouble bool) (*play, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	system := clock.System()
	play := &play{clock: system, start: system.Now(), trouble: trouble, folder: folder, file: file}
	play.record("trouble: %v", trouble)
	return play, nil
}

// record writes a line with the time since the start to the record and to standard output.
func (play *play) record(format string, values ...any) {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", float64(play.clock.Now()-play.start)/float64(clock.Second)) + fmt.Sprintf(format, values...)
	fmt.Fprintln(play.file, line)
	fmt.Println(line)
}

// close ends the processes.
func (play *play) close() {
	for _, machine := range play.machines {
		machine.kill()
	}
	os.RemoveAll(play.folder)
	if err := play.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// needDescriptors returns an error if this process may not open so many files.
func needDescriptors(count uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return errors.Wrap(err, "read the limit on descriptors")
	}
	if limit.Cur < count {
		return errors.Errorf("%d descriptors are needed, %d allowed", count, limit.Cur)
	}
	return nil
}

// serve serves a stand-in on a free port of the loopback address until this process ends.
func (play *play) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	// It ends with this process.
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// machine is a machine that runs sapphire-edge.
type machine struct {
	play      *play
	name      string
	settings  string
	mutex     sync.Mutex
	command   *exec.Cmd
	addresses map[string]string
	ended     chan struct{}
}

// machineSettings are the settings that deploy/settings.toml.tmpl makes of the figures of
// the site filtrix-lj, with free ports.
const machineSettings = `
host = %q
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"
[node]
listen = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
[platform]
address = %q
timeoutMillis = 600
[limits]
memoryMegabytes = %d
descriptors = %d
[bounds]
drainMillis = 2000
configurationMillis = 2000
graceSeconds = 8
retryShare = 0.2
retryWindowSeconds = 10
retrySlack = 54
quotaOvershoot = 0.1
quotaSlack = 110000
leaseMillis = 3000
usageWindowSeconds = 5
usageLateSeconds = 10
`

// The machines of the site filtrix-lj.
const (
	memoryMegabytes = 284
	descriptors     = 4100
)

// startMachine starts sapphire-edge with the command of deploy/system.toml.
func (play *play) startMachine(name, store string) (*machine, error) {
	machine := &machine{play: play, name: name, settings: filepath.Join(play.folder, name+".toml")}
	text := fmt.Sprintf(machineSettings, name, store, memoryMegabytes, descriptors)
	if err := os.WriteFile(machine.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if err := machine.run(); err != nil {
		return nil, err
	}
	play.machines = append(play.machines, machine)
	return machine, nil
}

// run starts the process and waits until it listens.
func (machine *machine) run() error {
	command := exec.Command("target/sapphire-edge", "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIREHEAD_CONFIG=" + machine.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "open the output")
	}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start sapphire-edge")
	}
	lines, ended := bufio.NewReader(output), make(chan struct{})
	line, err := lines.ReadBytes('\n')
	addresses, ok := program.ParseListening(line)
	if err != nil || !ok {
		return errors.Errorf("%s doesn't listen: %q", machine.name, line)
	}
	machine.mutex.Lock()
	machine.command, machine.addresses, machine.ended = command, addresses, ended
	machine.mutex.Unlock()
	go func() {
		defer close(ended)
		// The log is read at once and not kept.
		_, _ = io.Copy(io.Discard, lines)
		_ = command.Wait()
	}()
	machine.play.record("%s runs as process %d, callers at %s", machine.name, command.Process.Pid, addresses["caller"])
	return nil
}

func (machine *machine) address(purpose string) string {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.addresses[purpose]
}

func (machine *machine) pid() int {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.command.Process.Pid
}

// kill kills the process and waits for its end.
func (machine *machine) kill() {
	machine.mutex.Lock()
	command, ended := machine.command, machine.ended
	machine.mutex.Unlock()
	// It fails only if the process has ended.
	_ = command.Process.Kill()
	<-ended
}

// awaitReady waits until the machine says that it is ready.
func (machine *machine) awaitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + machine.address("ready") + "/api/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := machine.play.clock.Wait(ctx, 50*clock.Millisecond); err != nil {
			return errors.Wrap(err, machine.name+" isn't ready")
		}
	}
}
