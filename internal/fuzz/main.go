// Command fuzz runs every test that uses rapid with random seeds for a given
// time, and prints how many checks and steps of state machines ran.
//
// The test programs are built once. Each run executes one of them with one seed.
// A failed run prints the command that repeats it:
//
//	FAILED sapphirehead/internal/service: go test -count=1 sapphirehead/internal/service -rapid.seed=81...
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

type commandLine struct {
	Minutes  float64  `help:"Duration of the run, in minutes." default:"10"`
	Parallel int      `help:"Number of test programs run at the same time." default:"4"`
	Checks   int      `help:"Number of checks of each test in one run." default:"100"`
	Skip     string   `help:"Pattern of tests that are known to fail."`
	Packages []string `arg:"" help:"Packages whose tests use rapid."`
}

// maxShownLines is the number of last output lines shown for a failed run.
const maxShownLines = 60

// program is one compiled test program and its counters.
type program struct {
	name      string
	directory string
	file      string
	failed    atomic.Bool
	runs      atomic.Int64
	checks    atomic.Int64
	steps     atomic.Int64
}

// Run runs the test programs in turn until the time is over or all have failed.
func (command *commandLine) Run() error {
	directory, err := os.MkdirTemp("", "sapphirehead-fuzz")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	programs, err := build(command.Packages, directory)
	if err != nil {
		return err
	}
	system := clock.System()
	startedAt := system.Now()
	ctx, cancel := system.WithTimeout(context.Background(), clock.Millis(command.Minutes*float64(clock.Minute)))
	defer cancel()
	var next atomic.Int64
	var group sync.WaitGroup
	for range command.Parallel {
		group.Go(func() {
			for ctx.Err() == nil {
				program := programs[next.Add(1)%int64(len(programs))]
				if !program.failed.Load() {
					command.fuzz(ctx, program)
				} else if allFailed(programs) {
					return
				}
			}
		})
	}
	group.Wait()
	return printSummary(programs, system.Now()-startedAt)
}

func allFailed(programs []*program) bool {
	for _, program := range programs {
		if !program.failed.Load() {
			return false
		}
	}
	return true
}

func printSummary(programs []*program, elapsed clock.Millis) error {
	var runs, checks, steps int64
	failed := 0
	for _, program := range programs {
		fmt.Printf("%s: %d runs, %d checks, %d steps\n", program.name, program.runs.Load(), program.checks.Load(), program.steps.Load())
		runs, checks, steps = runs+program.runs.Load(), checks+program.checks.Load(), steps+program.steps.Load()
		if program.failed.Load() {
			failed++
		}
	}
	fmt.Printf("%d s, %d runs with random seeds, %d checks, %d steps, %d of %d packages failed\n", elapsed/clock.Second, runs, checks, steps, failed, len(programs))
	if failed > 0 {
		return errors.New("a random run failed")
	}
	return nil
}

func build(packages []string, directory string) ([]*program, error) {
	var programs []*program
	for i, name := range packages {
		built := &program{name: name, file: filepath.Join(directory, strconv.Itoa(i)+".test")}
		if output, err := exec.Command("go", "test", "-c", "-o", built.file, name).CombinedOutput(); err != nil {
			return nil, errors.Wrapf(err, "build the tests of %s: %s", name, output)
		}
		output, err := exec.Command("go", "list", "-f", "{{.Dir}}", name).Output()
		if err != nil {
			return nil, errors.Wrap(err, "find the directory of "+name)
		}
		built.directory = strings.TrimSpace(string(output))
		programs = append(programs, built)
	}
	return programs, nil
}

// fuzz runs a test program once with a random seed.
func (command *commandLine) fuzz(ctx context.Context, program *program) {
	seed := strconv.FormatUint(rand.Uint64()|1, 10)
	flags := []string{"-rapid.seed=" + seed, "-rapid.checks=" + strconv.Itoa(command.Checks), "-rapid.nofailfile"}
	arguments := append([]string{"-test.v", "-test.skip=" + command.Skip, "-rapid.log"}, flags...)
	run := exec.CommandContext(ctx, program.file, arguments...)
	run.Dir = program.directory
	output, err := run.StdoutPipe()
	if err != nil {
		program.fail(err.Error())
		return
	}
	run.Stderr = run.Stdout
	if err := run.Start(); err != nil {
		program.fail(err.Error())
		return
	}
	lastLines := program.readOutput(output)
	err = run.Wait()
	if ctx.Err() != nil {
		return
	}
	program.runs.Add(1)
	if err != nil {
		program.fail(fmt.Sprintf("%s\nFAILED %s: go test -count=1 %s %s", lastLines, program.name, program.name, strings.Join(flags, " ")))
	}
}

func (program *program) fail(text string) {
	program.failed.Store(true)
	fmt.Println(text)
}

var passedPattern = regexp.MustCompile(`\[rapid\] OK, passed (\d+) tests`)

// readOutput counts the checks and steps in the output and returns its last lines.
func (program *program) readOutput(output io.Reader) string {
	reader := bufio.NewReader(output)
	var lastLines []string
	for {
		line, err := reader.ReadBytes('\n')
		if bytes.Contains(line, []byte("[rapid] draw action:")) {
			program.steps.Add(1)
		} else if match := passedPattern.FindSubmatch(line); match != nil {
			count, _ := strconv.ParseInt(string(match[1]), 10, 64)
			program.checks.Add(count)
		}
		if len(line) > 0 {
			lastLines = append(lastLines, strings.TrimRight(string(line), "\n"))
			lastLines = lastLines[max(0, len(lastLines)-maxShownLines):]
		}
		if err != nil {
			return strings.Join(lastLines, "\n")
		}
	}
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("fuzz"), kong.Description("Runs every test that uses rapid with random seeds."))
	context.FatalIfErrorf(context.Run())
}
