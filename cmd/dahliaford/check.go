package main

import (
	"fmt"

	"dahliaford/internal/appliance"
)

type checkFileCmd struct {
	File string `arg:"" type:"path" help:"The configuration file, such as deploy/appliance.json."`
}

// Run checks an appliance's configuration file. It prints one line that says that the file is valid and
// whether the file configures a job store. The error of an invalid file is one line with the path of the
// invalid field.
func (c *checkFileCmd) Run(s *streams) error {
	raw, err := readFile(c.File, maxFileBytes)
	if err != nil {
		return err
	}
	cfg, err := appliance.Parse(raw)
	if err != nil {
		return fmt.Errorf("configuration file %s: %w", c.File, err)
	}
	configured := "no job store"
	if cfg.Store != nil {
		configured = "job store in " + cfg.Store.Path
	}
	_, err = fmt.Fprintf(s.out, "%s is valid: %s\n", c.File, configured)
	return err
}
