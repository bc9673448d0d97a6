// Command mutant runs mutation tests: it breaks one mechanism of the system at a
// time and checks that a named test fails.
//
// The mutants are textual patches in mutants.toml. Each is applied to a copy of
// its file, and an overlay makes the compiler use the copy, so the source tree
// is never modified:
//
//	name = "resend after send"
//	file = "internal/request/flow.go"                    old text must occur exactly once
//	package = "internal/faultmatrix"
//	test = "TestSingle/unannounced_death/send"           must pass without and fail with the patch
//
// A patch that no longer applies, that does not compile, or whose test fails
// without it counts as an error, not as caught.
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

// mutant is one entry of mutants.toml.
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

// result is the outcome of one mutant.
type result struct {
	mutant mutant
	caught bool
	output string
	err    error
}

type commandLine struct {
	Root     string   `help:"Root of the source tree." default:"." type:"existingdir"`
	Only     string   `help:"Run only mutants whose name contains this text."`
	Parallel int      `help:"Number of mutants tested at the same time." default:"3"`
	Flags    []string `help:"Additional test flags, such as a seed, for packages that use rapid."`
	Rapid    []string `help:"Packages that use rapid."`
	Verbose  bool     `help:"Show the output of each test."`
}

// Run tests every selected mutant and prints how many were caught.
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
		return errors.New("not every mutant was caught")
	}
	return nil
}

// runner tests mutants of the source tree.
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
		return false, output, errors.Errorf("the test fails without the mutant, or no test matches:\n%s", output)
	}
	output, err = runner.test(mutant, "-overlay", overlay)
	if strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]") {
		return false, output, errors.New("the mutant does not compile:\n" + output)
	}
	return err != nil, output, nil
}

// overlay writes the mutated copy of the source file and an overlay file for the
// compiler that replaces the original by it. It returns the overlay's path.
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

// test runs the mutant's test and returns an error unless it ran and passed.
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
	context := kong.Parse(&line, kong.Name("mutant"), kong.Description("Runs mutation tests: breaks the system on purpose and checks that a test fails."))
	context.FatalIfErrorf(context.Run())
}
