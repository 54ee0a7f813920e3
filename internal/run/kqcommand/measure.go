package kqcommand

// addMeasure adds the command "measure", the parent of the commands that measure.
func (c *Command) addMeasure() {
	c.measureCommand = c.app.Command("measure", "Measure the system on this server.")
}
