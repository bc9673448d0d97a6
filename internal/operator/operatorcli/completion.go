package operatorcli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// CompletionCommand prints a completion script for a shell. The script lists
// each command's flags and the commands below it, taken from the parser.
type CompletionCommand struct {
	Shell string `arg:"" help:"Shell: ${enum}." enum:"bash,zsh"`
}

// Run prints the script.
func (command *CompletionCommand) Run(session *Session, parser *kong.Kong) error {
	var paths, words strings.Builder
	writeNode(&paths, &words, parser.Model.Node, parser.Model.Name, flagsOf(parser.Model.Node))
	if command.Shell == "zsh" {
		fmt.Fprint(session.output, "#compdef sapphirectl\nautoload -U +X bashcompinit && bashcompinit\n")
	}
	_, err := fmt.Fprintf(session.output, completionScript, paths.String(), words.String())
	return err
}

// completionScript maps the commands typed so far to a path and offers the words that
// may follow it, or files if there are none.
const completionScript = `_sapphirectl() {
  local path=sapphirectl words="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "$path ${COMP_WORDS[i]}" in
%s    esac
  done
  case "$path" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
  if [[ ${#COMPREPLY[@]} -eq 0 ]]; then
    COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}"))
  fi
}
complete -F _sapphirectl sapphirectl
`

// writeNode adds the node and those below it: the paths of commands, and the
// words that may follow each path.
func writeNode(paths, words *strings.Builder, node *kong.Node, path, global string) {
	var next []string
	for _, child := range node.Children {
		name := path + " " + child.Name
		next = append(next, child.Name)
		fmt.Fprintf(paths, "      %q) path=%q ;;\n", name, name)
		writeNode(paths, words, child, name, global)
	}
	if node.Type == kong.CommandNode {
		next = append(next, flagsOf(node))
	}
	next = append(next, global)
	fmt.Fprintf(words, "    %q) words=%q ;;\n", path, strings.Join(next, " "))
}

func flagsOf(node *kong.Node) string {
	var flags []string
	for _, flag := range node.Flags {
		flags = append(flags, "--"+flag.Name)
	}
	return strings.Join(flags, " ")
}
