package main

import (
	"fmt"

	"dahliaford/internal/appliance"
)

type checkFileCmd struct {
	File string `arg:"" type:"path" help:"An appliance's file, such as deploy/appliance.json."`
}

// Run says that a file is in order, or in one line what is invalid in it.
func (c *checkFileCmd) Run(s *streams) error {
	raw, err := readFile(c.File, maxFileBytes)
	if err != nil {
		return err
	}
	cfg, err := appliance.Parse(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	configured := "no job store"
	if cfg.Store != nil {
		configured = "job store in " + cfg.Store.Path
	}
	_, err = fmt.Fprintf(s.out, "%s is in order: %s\n", c.File, configured)
	return err
}
