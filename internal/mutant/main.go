// Command mutant breaks the system on purpose, one mechanism at a time, and
// checks that a named test notices.
//
// The breaks are in mutants.toml as textual patches. Each is applied to a copy
// of its file that the compiler takes in place of the original, so the tree
// itself is never touched:
//
//	name = "resend after send"
//	file = "internal/request/flow.go"     old text must occur exactly once
//	test = "TestFlow"                     must pass without and fail with it
//
// A patch that no longer applies, that does not compile, or whose test fails
// without it is an error, not a catch.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

//go:embed mutants.toml
var mutantsTOML string

// mutant is one break as the file describes it.
type mutant struct {
	Name    string `toml:"name"`
	File    string `toml:"file"`
	Old     string `toml:"old"`
	New     string `toml:"new"`
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

type mutantList struct {
	Mutants []mutant `toml:"mutants"`
}

// result is what became of one break.
type result struct {
	mutant mutant
	caught bool
	output string
	err    error
}

type commandLine struct {
	Root     string   `help:"Root of the tree." default:"." type:"existingdir"`
	Only     string   `help:"Run only breaks whose name holds this text."`
	Parallel int      `help:"Breaks at the same time." default:"3"`
	Flags    []string `help:"Further flags of the tests, such as a seed; given only to packages that use rapid."`
	Rapid    []string `help:"Packages that use rapid."`
	Verbose  bool     `help:"Show how each test failed."`
}

// Run applies every break and prints how many were caught.
func (command *commandLine) Run() error {
	var list mutantList
	decoder := toml.NewDecoder(strings.NewReader(mutantsTOML)).DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return errors.Wrap(err, "mutants.toml")
	}
	root, err := filepath.Abs(command.Root)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "sapphirehead-mutant")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	var selected []mutant
	for _, mutant := range list.Mutants {
		if strings.Contains(mutant.Name, command.Only) {
			selected = append(selected, mutant)
		}
	}
	runner := &runner{root: root, directory: directory, command: command}
	return printReport(runner.runAll(selected), command.Verbose)
}

func printReport(results []result, verbose bool) error {
	caught := 0
	for _, result := range results {
		switch {
		case result.err != nil:
			fmt.Printf("ERROR   %s: %v\n", result.mutant.Name, result.err)
		case result.caught:
			caught++
			fmt.Printf("caught  %s: %s %s\n", result.mutant.Name, result.mutant.Package, result.mutant.Test)
		default:
			fmt.Printf("MISSED  %s: %s %s passes\n", result.mutant.Name, result.mutant.Package, result.mutant.Test)
		}
		if verbose {
			fmt.Println(result.output)
		}
	}
	fmt.Printf("caught %d of %d\n", caught, len(results))
	if caught < len(results) {
		return errors.New("not every break was caught")
	}
	return nil
}

// runner tests breaks against the tree.
type runner struct {
	root      string
	directory string
	command   *commandLine
}

func (runner *runner) runAll(mutants []mutant) []result {
	results := make([]result, len(mutants))
	slots := make(chan struct{}, runner.command.Parallel)
	var group sync.WaitGroup
	for i, mutant := range mutants {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			caught, output, err := runner.run(i, mutant)
			results[i] = result{mutant: mutant, caught: caught, output: output, err: err}
		})
	}
	group.Wait()
	return results
}

func (runner *runner) run(number int, mutant mutant) (caught bool, output string, err error) {
	overlay, err := runner.overlay(number, mutant)
	if err != nil {
		return false, "", err
	}
	if output, err := runner.test(mutant); err != nil {
		return false, output, errors.Errorf("the test fails without the break, or there is none:\n%s", output)
	}
	output, err = runner.test(mutant, "-overlay", overlay)
	if strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]") {
		return false, output, errors.New("the break does not compile:\n" + output)
	}
	return err != nil, output, nil
}

// overlay writes the broken copy and the file that tells the compiler of it.
func (runner *runner) overlay(number int, mutant mutant) (string, error) {
	original := filepath.Join(runner.root, mutant.File)
	source, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), mutant.Old); count != 1 {
		return "", errors.Errorf("the old text occurs %d times in %s", count, mutant.File)
	}
	mutated := filepath.Join(runner.directory, fmt.Sprintf("%d.go", number))
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(source), mutant.Old, mutant.New, 1)), 0o600); err != nil {
		return "", err
	}
	encoded, err := json.Marshal(map[string]map[string]string{"Replace": {original: mutated}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(runner.directory, fmt.Sprintf("%d.json", number))
	return overlay, os.WriteFile(overlay, encoded, 0o600)
}

// test runs the break's test and returns an error unless it ran and passed.
func (runner *runner) test(mutant mutant, flags ...string) (string, error) {
	arguments := append([]string{"-count=1", "-v", "-run", mutant.Test}, flags...)
	arguments = append(arguments, "./"+mutant.Package)
	for _, name := range runner.command.Rapid {
		if strings.HasSuffix(name, mutant.Package) {
			arguments = append(arguments, runner.command.Flags...)
		}
	}
	output, err := runner.goTool("test", arguments...)
	if err == nil && !strings.Contains(output, "--- PASS") {
		return output, errors.New("no test ran")
	}
	return output, err
}

func (runner *runner) goTool(subcommand string, arguments ...string) (string, error) {
	command := exec.Command("go", append([]string{subcommand}, arguments...)...)
	command.Dir = runner.root
	output, err := command.CombinedOutput()
	return string(output), err
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("mutant"), kong.Description("Breaks the system on purpose and checks that a test notices."))
	context.FatalIfErrorf(context.Run())
}
