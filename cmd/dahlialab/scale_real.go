package main

// runReal runs real schedulers on loopback.
func (c *scaleCmd) runReal() error {
	return misuse("--real is not there yet: only hollow schedulers run")
}
