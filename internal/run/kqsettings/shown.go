package kqsettings

import "fmt"

// Shown returns the settings in force that differ from their defaults, by
// "section.key". No setting is a secret; keys and tokens stand in files of their
// own.
func (s Settings) Shown() map[string]string {
	standard := Default()
	before := fields(&standard)
	shown := make(map[string]string)
	for i, f := range fields(&s) {
		if value := fmt.Sprint(f.value.Interface()); value != fmt.Sprint(before[i].value.Interface()) {
			shown[f.section+"."+f.key] = value
		}
	}
	return shown
}
