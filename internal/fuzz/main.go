// Command fuzz runs every test that uses rapid with random seeds for a stated
// time, and prints how many checks and steps of state machines ran.
//
// The test programs are built once. Each run takes one of them with one seed;
// a failure prints the command that repeats it:
//
//	FAILED sapphirehead/internal/service: go test ./internal/service -rapid.seed=81...
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
	Minutes  float64  `help:"Time to spend." default:"10"`
	Parallel int      `help:"Test programs at the same time." default:"4"`
	Checks   int      `help:"Checks of each test in one run." default:"100"`
	Skip     string   `help:"Pattern of tests that are known to fail."`
	Packages []string `arg:"" help:"Packages whose tests use rapid."`
}

// lastLines is the number of lines shown of a failed run.
const lastLines = 60

// program is one built test program.
type program struct {
	name   string
	folder string
	file   string
	failed atomic.Bool
	runs   atomic.Int64
	checks atomic.Int64
	steps  atomic.Int64
}

// Run fuzzes until the time is over.
func (command *commandLine) Run() error {
	folder, err := os.MkdirTemp("", "sapphirehead-fuzz")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	programs, err := build(command.Packages, folder)
	if err != nil {
		return err
	}
	system := clock.System()
	begun := system.Now()
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
	return summary(programs, system.Now()-begun)
}

func allFailed(programs []*program) bool {
	for _, program := range programs {
		if !program.failed.Load() {
			return false
		}
	}
	return true
}

func summary(programs []*program, spent clock.Millis) error {
	var runs, checks, steps int64
	failed := 0
	for _, program := range programs {
		fmt.Printf("%s: %d runs, %d checks, %d steps\n", program.name, program.runs.Load(), program.checks.Load(), program.steps.Load())
		runs, checks, steps = runs+program.runs.Load(), checks+program.checks.Load(), steps+program.steps.Load()
		if program.failed.Load() {
			failed++
		}
	}
	fmt.Printf("%d s, %d runs with random seeds, %d checks, %d steps, %d of %d packages failed\n", spent/clock.Second, runs, checks, steps, failed, len(programs))
	if failed > 0 {
		return errors.New("a random run failed")
	}
	return nil
}

func build(packages []string, folder string) ([]*program, error) {
	var programs []*program
	for i, name := range packages {
		built := &program{name: name, file: filepath.Join(folder, strconv.Itoa(i)+".test")}
		if output, err := exec.Command("go", "test", "-c", "-o", built.file, name).CombinedOutput(); err != nil {
			return nil, errors.Wrapf(err, "build the tests of %s: %s", name, output)
		}
		output, err := exec.Command("go", "list", "-f", "{{.Dir}}", name).Output()
		if err != nil {
			return nil, errors.Wrap(err, "find "+name)
		}
		built.folder = strings.TrimSpace(string(output))
		programs = append(programs, built)
	}
	return programs, nil
}

// fuzz runs a test program once under a random seed.
func (command *commandLine) fuzz(ctx context.Context, program *program) {
	seed := strconv.FormatUint(rand.Uint64()|1, 10)
	flags := []string{"-rapid.seed=" + seed, "-rapid.checks=" + strconv.Itoa(command.Checks), "-rapid.nofailfile"}
	arguments := append([]string{"-test.v", "-test.skip=" + command.Skip, "-rapid.log"}, flags...)
	run := exec.CommandContext(ctx, program.file, arguments...)
	run.Dir = program.folder
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
	last := program.read(output)
	err = run.Wait()
	if ctx.Err() != nil {
		return
	}
	program.runs.Add(1)
	if err != nil {
		program.fail(fmt.Sprintf("%s\nFAILED %s: go test -count=1 %s %s", last, program.name, program.name, strings.Join(flags, " ")))
	}
}

func (program *program) fail(text string) {
	program.failed.Store(true)
	fmt.Println(text)
}

var passed = regexp.MustCompile(`\[rapid\] OK, passed (\d+) tests`)

// read counts the checks and steps in the output and returns its end.
func (program *program) read(output io.Reader) string {
	reader := bufio.NewReader(output)
	var last []string
	for {
		line, err := reader.ReadBytes('\n')
		if bytes.Contains(line, []byte("[rapid] draw action:")) {
			program.steps.Add(1)
		} else if match := passed.FindSubmatch(line); match != nil {
			count, _ := strconv.ParseInt(string(match[1]), 10, 64)
			program.checks.Add(count)
		}
		if len(line) > 0 {
			last = append(last, strings.TrimRight(string(line), "\n"))
			last = last[max(0, len(last)-lastLines):]
		}
		if err != nil {
			return strings.Join(last, "\n")
		}
	}
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("fuzz"), kong.Description("Runs every test that uses rapid with random seeds."))
	context.FatalIfErrorf(context.Run())
}
