package kqsettings

import "fmt"

// NonDefaults returns the settings that differ from their defaults, by "section.key",
// for the log. No setting is secret: keys and tokens are kept in separate files.
func (s Settings) NonDefaults() map[string]string {
	standard := Default()
	defaults := fields(&standard)
	changed := make(map[string]string)
	for i, f := range fields(&s) {
		if value := fmt.Sprint(f.value.Interface()); value != fmt.Sprint(defaults[i].value.Interface()) {
			changed[f.section+"."+f.key] = value
		}
	}
	return changed
}
