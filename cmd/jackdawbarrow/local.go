package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/setup"
)

type setupCommand struct {
	Answers string `type:"existingfile" help:"File of answers; examples/ has two. Without it the questions are asked at the terminal."`
	Out     string `required:"" help:"File that the configuration is written to."`
}

// Run implements the command.
func (c *setupCommand) Run() error {
	answers, err := c.answers()
	if err != nil {
		return err
	}
	result, err := setup.Generate(answers)
	if err != nil {
		return err
	}
	// The file holds the signing key of sessions.
	if err := os.WriteFile(c.Out, result.YAML, 0o600); err != nil {
		return errors.Wrap(err, "write configuration")
	}
	fmt.Printf("wrote %s\n", c.Out)
	fmt.Println("The keys and tokens below are shown this once:")
	for _, s := range result.Secrets {
		fmt.Printf("  %-24s %s\n", s.Owner, s.Value)
	}
	return nil
}

func (c *setupCommand) answers() (setup.Answers, error) {
	if c.Answers == "" {
		return setup.Ask(os.Stdin, os.Stdout)
	}
	b, err := os.ReadFile(c.Answers)
	if err != nil {
		return setup.Answers{}, errors.Wrap(err, "read answers")
	}
	answers, faults := setup.ParseAnswers(c.Answers, b)
	return answers, faults.Err()
}

type checkCommand struct {
	Settings      []string `help:"Settings files to check." type:"existingfile"`
	Configuration []string `help:"Configuration files to check." type:"existingfile"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	var all config.Faults
	for _, file := range c.Settings {
		b, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read settings")
		}
		_, faults := config.ParseSettings(file, b)
		all = append(all, faults...)
	}
	for _, file := range c.Configuration {
		b, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read configuration")
		}
		_, faults := config.ParseDocument(file, b)
		all = append(all, faults...)
	}
	if len(c.Settings)+len(c.Configuration) == 0 {
		return errors.New("name at least one file with --settings or --configuration")
	}
	for _, f := range all {
		fmt.Println(f)
	}
	if len(all) > 0 {
		return errors.Newf("%d faults", len(all))
	}
	fmt.Println("no faults")
	return nil
}

type keyCommand struct {
	For string `enum:"workspace,operator" default:"workspace" help:"What the secret is for: workspace or operator."`
	ID  string `arg:"" help:"Id of the key, unique in the configuration, without an underscore."`
}

// Run implements the command.
func (c *keyCommand) Run() error {
	prefix := "jw"
	if c.For == "operator" {
		prefix = "jo"
	}
	secret, hash := config.NewSecret(prefix, c.ID)
	fmt.Printf("secret, shown this once: %s\n", secret)
	fmt.Printf("for the configuration: {id: %s, salt: %s, hash: %s}\n", hash.ID, hash.Salt, hash.Hash)
	return nil
}

type codesCommand struct {
	Markdown bool `help:"Print the table of docs/codes.md."`
}

// Run implements the command.
func (c *codesCommand) Run() error {
	if c.Markdown {
		printCodesMarkdown()
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "code\tname\tHTTP\tran\tretry\tmeaning")
	for _, info := range jdaw.Codes() {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", info.Code, info.Name, info.Status, info.Ran, info.Retry, info.Meaning)
	}
	return w.Flush()
}

func printCodesMarkdown() {
	fmt.Println("| code | name | HTTP | ran | retry | meaning |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, info := range jdaw.Codes() {
		fmt.Printf("| %d | %s | %d | %s | %s | %s |\n", info.Code, info.Name, info.Status, info.Ran, info.Retry, info.Meaning)
	}
}
