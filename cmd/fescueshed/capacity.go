package main

import (
	"encoding/json"
	"os"

	"github.com/fescueshed/fescueshed/internal/process/capacity"
)

type capacityCommand struct {
	JSON bool `help:"Print JSON."`
}

// Run measures what each part costs as its size grows (the slopes) and prints the costs and the limits
// that follow from them.
func (c *capacityCommand) Run() error {
	r := capacity.Measure()
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return r.Print(os.Stdout)
}
