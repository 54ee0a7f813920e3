package kqsettings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// ErrSettings is in every error of this package.
var ErrSettings = errors.New("bad settings")

// reader gathers the faults of one file.
type reader struct {
	file   string
	faults []error
	// faulty tells by "section.key" which settings have a fault of their own.
	faulty map[string]bool
}

// Default returns the settings of a file that sets nothing.
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

// Read reads settings from an INI file. The error joins every fault of the
// file, each with file, section and key.
func Read(file string) (Settings, error) {
	loaded, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, file)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w: %w", file, ErrSettings, err)
	}
	s := Default()
	r := &reader{file: file, faulty: make(map[string]bool)}
	all := fields(&s)
	r.unknown(loaded, all)
	for _, f := range all {
		before := len(r.faults)
		r.read(loaded, f)
		r.faulty[f.section+"."+f.key] = len(r.faults) > before
	}
	r.combinations(s)
	if len(r.faults) > 0 {
		return Settings{}, errors.Join(r.faults...)
	}
	return s, nil
}

// Example returns an INI file that states every key with its default.
func Example() string {
	s := Default()
	var b strings.Builder
	section := ""
	for _, f := range fields(&s) {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "; %s%s\n", f.tag.Get("doc"), f.bounds())
		if f.tag.Get("required") == "true" {
			fmt.Fprintf(&b, "%s = example\n", f.key)
			continue
		}
		fmt.Fprintf(&b, "%s = %s\n", f.key, f.tag.Get("default"))
	}
	return b.String()
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Errorf("%s: [%s] %s: %s: %w", r.file, section, key, fmt.Sprintf(format, args...), ErrSettings))
}

func (r *reader) unknown(loaded *ini.File, all []field) {
	for _, s := range loaded.Sections() {
		if !slices.ContainsFunc(all, func(f field) bool { return f.section == s.Name() }) && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			r.fault(s.Name(), "*", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.ContainsFunc(all, func(f field) bool { return f.section == s.Name() && f.key == k.Name() }) {
				r.fault(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) read(loaded *ini.File, f field) {
	section := loaded.Section(f.section)
	if !section.HasKey(f.key) || section.Key(f.key).Value() == "" && f.tag.Get("required") == "true" {
		if f.tag.Get("required") == "true" {
			r.fault(f.section, f.key, "is required")
		}
		return
	}
	key := section.Key(f.key)
	if len(key.ValueWithShadows()) > 1 {
		r.fault(f.section, f.key, "is set %d times", len(key.ValueWithShadows()))
		return
	}
	if err := f.set(key.Value()); err != nil {
		r.fault(f.section, f.key, "%v", err)
	}
}
