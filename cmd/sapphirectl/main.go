// Command sapphirectl is the operators' tool: it edits and shows the tables of routes
// and pools and shows the state of the system.
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

// edit opens a file in the editor named by EDITOR, or in vi.
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
