// Package harness runs the system's programs and the stand-ins as processes on
// loopback, for the demonstration and for tests with real processes. The kernel
// kills the started processes if the harness's own process dies.
package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/program"
)

// startTimeout bounds the time until a program prints its listening addresses.
const startTimeout = 20 * clock.Second

// Process is one started program.
type Process struct {
	name      string
	command   *exec.Cmd
	addresses map[string]string
	log       *logBuffer
	done      chan struct{}
	err       error
}

// Name returns the name given at the start.
func (process *Process) Name() string { return process.name }

// Address returns the named address on which the program listens.
func (process *Process) Address(name string) string { return process.addresses[name] }

// PID returns the process id.
func (process *Process) PID() int { return process.command.Process.Pid }

// Log returns the program's output except for the line with its listening
// addresses.
func (process *Process) Log() string { return process.log.String() }

// Signal sends a signal to the process.
func (process *Process) Signal(signal syscall.Signal) error {
	return process.command.Process.Signal(signal)
}

// Wait waits until the process has ended and returns the error of its exit, nil
// after exit status 0.
func (process *Process) Wait() error {
	<-process.done
	return process.err
}

// Done returns a channel that is closed when the process has ended.
func (process *Process) Done() <-chan struct{} { return process.done }

// Kill sends SIGKILL and waits until the process has ended.
func (process *Process) Kill() {
	_ = process.Signal(syscall.SIGKILL)
	<-process.done
}

// logBuffer collects a process's output. It is safe for concurrent use.
type logBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the log.
func (log *logBuffer) Write(data []byte) (int, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.buffer.Write(data)
}

// writeLine appends one line.
func (log *logBuffer) writeLine(data []byte) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.buffer.Write(data)
	log.buffer.WriteByte('\n')
}

// String returns the log so far.
func (log *logBuffer) String() string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.buffer.String()
}

// Harness starts processes and kills them on Close.
type Harness struct {
	bin       string
	folder    string
	clock     *clock.Clock
	mutex     sync.Mutex
	processes []*Process
}

// New returns a harness for the programs in bin that writes settings files to
// the folder.
func New(bin, folder string, clock *clock.Clock) *Harness {
	return &Harness{bin: bin, folder: folder, clock: clock}
}

// Start starts a program and waits until it has printed its listening addresses.
func (harness *Harness) Start(name, binary string, arguments ...string) (*Process, error) {
	process := &Process{name: name, log: &logBuffer{}, done: make(chan struct{})}
	process.command = exec.Command(filepath.Join(harness.bin, binary), arguments...)
	process.command.Stderr = process.log
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := process.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	harness.mutex.Lock()
	harness.processes = append(harness.processes, process)
	harness.mutex.Unlock()
	listening := make(chan map[string]string, 1)
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			if addresses, ok := program.ParseListening(scanner.Bytes()); ok {
				listening <- addresses
				continue
			}
			process.log.writeLine(scanner.Bytes())
		}
		process.err = process.command.Wait()
		close(process.done)
	}()
	return process, harness.awaitListening(process, listening)
}

func (harness *Harness) awaitListening(process *Process, listening <-chan map[string]string) error {
	timedOut := make(chan struct{})
	stop := harness.clock.AfterFunc(startTimeout, func() { close(timedOut) })
	defer stop()
	select {
	case process.addresses = <-listening:
		return nil
	case <-process.done:
		return errors.Errorf("%s ended before it was listening: %v\n%s", process.name, process.err, process.Log())
	case <-timedOut:
		return errors.Errorf("%s printed no listening addresses in time\n%s", process.name, process.Log())
	}
}

// WriteFile writes a settings file and returns its path.
func (harness *Harness) WriteFile(name, content string) (string, error) {
	path := filepath.Join(harness.folder, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// Command runs a program to its end and returns its standard output and error.
func (harness *Harness) Command(binary string, arguments ...string) (string, error) {
	output, err := exec.Command(filepath.Join(harness.bin, binary), arguments...).CombinedOutput()
	return string(output), err
}

// Close kills every process and waits until it has ended. Paused processes are
// resumed first.
func (harness *Harness) Close() {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	for _, process := range harness.processes {
		_ = process.Signal(syscall.SIGCONT)
		process.Kill()
	}
}

// Running returns the names of processes that have not ended.
func (harness *Harness) Running() []string {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	var running []string
	for _, process := range harness.processes {
		if process.Signal(syscall.Signal(0)) == nil {
			running = append(running, process.name)
		}
	}
	return running
}

// Logs returns the logs of all processes.
func (harness *Harness) Logs() string {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	text := ""
	for _, process := range harness.processes {
		text += fmt.Sprintf("--- %s ---\n%s", process.name, process.Log())
	}
	return text
}
