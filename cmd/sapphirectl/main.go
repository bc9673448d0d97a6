// Command sapphirectl is the operators' tool: it edits and shows the two
// tables and shows the state of the system.
package main

import (
	"os"
	"os/exec"
	"strings"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorcli"
	"sapphirehead/internal/program"
)

const defaultEditor = "vi"

// edit lets the operator change a file in the editor of the environment.
func edit(file string) error {
	words := strings.Fields(os.Getenv("EDITOR"))
	if len(words) == 0 {
		words = []string{defaultEditor}
	}
	command := exec.Command(words[0], append(words[1:], file)...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	return command.Run()
}

func main() {
	os.Exit(operatorcli.Main(os.Args[1:], clock.System(), os.Stdin, os.Stdout, os.Stderr, edit, program.Version))
}
