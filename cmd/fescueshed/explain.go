package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/flowtrace"
)

type explainCommand struct {
	Caller string   `help:"The flow's caller, as in its or the upstream's log." required:"" placeholder:"IP:PORT"`
	Logs   []string `arg:"" help:"Log files of balancers, one for each host; - is standard input." type:"path"`
}

// Run prints the log lines of all balancers that concern a flow, in order of time, and an explanation
// of what happened to it.
func (c *explainCommand) Run() error {
	var lines []flowtrace.Line
	for _, name := range c.Logs {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	s := flowtrace.Build(lines, c.Caller)
	for _, l := range s.Lines {
		fmt.Printf("%s  %s  %s\n", l.Time.Format("15:04:05.000"), l.Host, l.Text)
	}
	fmt.Println("=>", s.Meaning)
	return nil
}

func readLog(name string) ([]flowtrace.Line, error) {
	if name == "-" {
		return flowtrace.Parse(os.Stdin, "-")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open log file")
	}
	defer func() { _ = f.Close() }() // The file was opened for reading only.
	return flowtrace.Parse(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}
