package kqcommand

// addMeasure adds "measure" and one file's worth of commands for each kind.
func (c *Command) addMeasure() {
	c.measure = c.app.Command("measure", "Measure the system on this machine.")
}
