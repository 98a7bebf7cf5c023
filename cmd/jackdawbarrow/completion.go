package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct{}

// Run implements the command. The script lists the commands and flags of this
// version, so that completing starts no process of this program.
func (c *completionCommand) Run(k *kong.Kong) error {
	var b strings.Builder
	b.WriteString("# bash: source <(jackdawbarrow completion); zsh: autoload -U +X bashcompinit && bashcompinit first\n")
	b.WriteString("_jackdawbarrow() {\n  local path= word i\n")
	b.WriteString("  for ((i = 1; i < COMP_CWORD; i++)); do\n    word=${COMP_WORDS[i]}\n")
	b.WriteString("    [[ $word == -* ]] || path+=\"$word \"\n  done\n  local words=\n  case \"$path\" in\n")
	writeCases(&b, k.Model.Node, "")
	b.WriteString("  esac\n  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	b.WriteString("complete -o default -F _jackdawbarrow jackdawbarrow\n")
	_, err := fmt.Fprint(os.Stdout, b.String())
	return err
}

// writeCases writes the patterns of a command's subcommands before its own,
// since bash takes the first that matches.
func writeCases(b *strings.Builder, n *kong.Node, path string) {
	var words []string
	for _, child := range n.Children {
		if child.Type != kong.CommandNode {
			continue
		}
		words = append(words, child.Name)
		writeCases(b, child, path+child.Name+" ")
	}
	for _, group := range n.AllFlags(true) {
		for _, f := range group {
			words = append(words, "--"+f.Name)
		}
	}
	fmt.Fprintf(b, "    %q*) words=%q ;;\n", path, strings.Join(words, " "))
}
