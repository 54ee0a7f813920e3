package kqsettings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// ErrInvalid is wrapped by every error that this package returns.
var ErrInvalid = errors.New("bad settings")

// fileReader collects the errors of one settings file.
type fileReader struct {
	file string
	errs []error
	// invalid holds, by "section.key", whether a setting has an error of its own,
	// regardless of its combination with others.
	invalid map[string]bool
}

// Default returns the default settings; required ones are empty.
func Default() Settings {
	var s Settings
	for _, f := range fields(&s) {
		if text := f.tag.Get("default"); text != "" {
			if err := f.set(text); err != nil {
				panic(err)
			}
		}
	}
	return s
}

// Read reads settings from an INI file. The returned error joins all errors of
// the file, each with file, section and key.
func Read(file string) (Settings, error) {
	loaded, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, file)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w: %w", file, ErrInvalid, err)
	}
	s := Default()
	r := &fileReader{file: file, invalid: make(map[string]bool)}
	all := fields(&s)
	r.checkUnknownKeys(loaded, all)
	for _, f := range all {
		before := len(r.errs)
		r.readField(loaded, f)
		r.invalid[f.section+"."+f.key] = len(r.errs) > before
	}
	r.checkCombinations(s)
	if len(r.errs) > 0 {
		return Settings{}, errors.Join(r.errs...)
	}
	return s, nil
}

// Example returns an INI file that sets every key to its default, and
// required keys, which have none, to "example".
func Example() string {
	s := Default()
	var b strings.Builder
	section := ""
	for _, f := range fields(&s) {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "; %s%s\n", f.tag.Get("doc"), f.boundsText())
		if f.tag.Get("required") == "true" {
			fmt.Fprintf(&b, "%s = example\n", f.key)
			continue
		}
		fmt.Fprintf(&b, "%s = %s\n", f.key, f.tag.Get("default"))
	}
	return b.String()
}

// addError records an error of one key.
func (r *fileReader) addError(section, key, format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf("%s: [%s] %s: %s: %w", r.file, section, key, fmt.Sprintf(format, args...), ErrInvalid))
}

// checkUnknownKeys reports sections and keys of the file that no setting has.
func (r *fileReader) checkUnknownKeys(loaded *ini.File, all []field) {
	for _, s := range loaded.Sections() {
		if !slices.ContainsFunc(all, func(f field) bool { return f.section == s.Name() }) && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			r.addError(s.Name(), "*", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.ContainsFunc(all, func(f field) bool { return f.section == s.Name() && f.key == k.Name() }) {
				r.addError(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

// readField sets one field from the file, or keeps its default if the file does not set it or
// sets it to an empty value: a platform that fills in the file leaves out what it does not state.
func (r *fileReader) readField(loaded *ini.File, f field) {
	section := loaded.Section(f.section)
	if !section.HasKey(f.key) || section.Key(f.key).Value() == "" && f.tag.Get("required") == "true" {
		if f.tag.Get("required") == "true" {
			r.addError(f.section, f.key, "is required")
		}
		return
	}
	key := section.Key(f.key)
	if len(key.ValueWithShadows()) > 1 {
		r.addError(f.section, f.key, "is set %d times", len(key.ValueWithShadows()))
		return
	}
	if key.Value() == "" {
		return
	}
	if err := f.set(key.Value()); err != nil {
		r.addError(f.section, f.key, "%v", err)
	}
}
