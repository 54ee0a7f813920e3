package kqsettings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

var (
	// ErrSettings is in every error of this package.
	ErrSettings = errors.New("bad settings")

	durationType = reflect.TypeFor[time.Duration]()
	sizes        = []struct {
		suffix string
		bytes  int
	}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}
)

type (
	// field is one setting: its place in the file and in Settings.
	field struct {
		section, key string
		tag          reflect.StructTag
		value        reflect.Value
	}

	reader struct {
		file   string
		faults []error
	}
)

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
	loaded, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, file)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", file, errors.Join(ErrSettings, err))
	}
	s := Default()
	r := &reader{file: file}
	all := fields(&s)
	r.unknown(loaded, all)
	for _, f := range all {
		r.read(loaded, f)
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
		for _, k := range s.Keys() {
			if !slices.ContainsFunc(all, func(f field) bool { return f.section == s.Name() && f.key == k.Name() }) {
				r.fault(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) read(loaded *ini.File, f field) {
	section := loaded.Section(f.section)
	if !section.HasKey(f.key) {
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
	if err := f.set(key.String()); err != nil {
		r.fault(f.section, f.key, "%v", err)
	}
}

// combinations refuses settings that are sound alone but not together.
func (r *reader) combinations(s Settings) {
	if s.Member.UpstreamTTL < 2*s.Member.Heartbeat {
		r.fault("member", "upstream_ttl", "must be at least twice heartbeat, or upstreams come and go")
	}
	if n := s.TLS.set(); n != 0 && n != tlsFiles {
		r.fault("tls", "certificate", "ca, certificate and key go together")
	}
	used := make(map[string]string)
	for _, a := range []struct{ section, key, address string }{
		{"node", "entry_listen", string(s.Node.EntryListen)},
		{"node", "local_listen", string(s.Node.LocalListen)},
		{"node", "gate_listen", string(s.Node.GateListen)},
		{"node", "control_listen", string(s.Node.ControlListen)},
		{"admin", "listen", string(s.Admin.Listen)},
	} {
		if a.address == "" && a.section == "admin" {
			continue
		}
		host, port, err := net.SplitHostPort(a.address)
		if err != nil || net.ParseIP(host) == nil {
			r.fault(a.section, a.key, "%q is not an address like 10.0.0.1:8080", a.address)
			continue
		}
		if !s.TLS.On() && tlsGuarded[a.key] && !net.ParseIP(host).IsLoopback() {
			r.fault(a.section, a.key, "%q is not a loopback address, so [tls] must be set", a.address)
		}
		if a.key == "local_listen" && !net.ParseIP(host).IsLoopback() {
			r.fault(a.section, a.key, "%q is not a loopback address, so anybody could announce upstreams", a.address)
		}
		if other, ok := used[a.address]; ok && port != "0" {
			r.fault(a.section, a.key, "%s is %s's too", a.address, other)
		}
		used[a.address] = a.key
	}
}

func fields(s *Settings) []field {
	var all []field
	top := reflect.ValueOf(s).Elem()
	for i := range top.NumField() {
		section := top.Type().Field(i).Tag.Get("section")
		group := top.Field(i)
		for j := range group.NumField() {
			tag := group.Type().Field(j).Tag
			all = append(all, field{section: section, key: tag.Get("key"), tag: tag, value: group.Field(j)})
		}
	}
	return all
}

func (f field) bounds() string {
	var parts []string
	for _, name := range []string{"unit", "min", "max", "one_of"} {
		if text := f.tag.Get(name); text != "" {
			parts = append(parts, strings.ReplaceAll(name, "_", " ")+" "+text)
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// set parses text as the field's type, checks its bounds and stores it.
func (f field) set(text string) error {
	if words := f.tag.Get("one_of"); words != "" && !slices.Contains(strings.Split(words, ","), text) {
		return fmt.Errorf("%q is not one of %s", text, words)
	}
	switch {
	case f.value.Type() == durationType, f.value.Kind() == reflect.Int:
		return f.setNumber(text)
	case f.value.Kind() == reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		f.value.SetBool(b)
	case f.value.Kind() == reflect.Slice:
		var list []string
		for _, part := range strings.Split(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				list = append(list, part)
			}
		}
		f.value.Set(reflect.ValueOf(list))
	default:
		f.value.SetString(text)
	}
	return nil
}

func (f field) setNumber(text string) error {
	n, err := f.number(text)
	if err != nil {
		return err
	}
	if low := f.tag.Get("min"); low != "" {
		if least, err := f.number(low); err == nil && n < least {
			return fmt.Errorf("%s is under %s", text, low)
		}
	}
	if high := f.tag.Get("max"); high != "" {
		if most, err := f.number(high); err == nil && n > most {
			return fmt.Errorf("%s is over %s", text, high)
		}
	}
	f.value.SetInt(n)
	return nil
}

func (f field) number(text string) (int64, error) {
	if f.value.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration like 500ms, 3s or 10m", text)
		}
		return int64(d), nil
	}
	factor := 1
	if f.tag.Get("unit") == "bytes" {
		for _, s := range sizes {
			if number, ok := strings.CutSuffix(text, s.suffix); ok {
				text, factor = number, s.bytes
				break
			}
		}
	}
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number%s", text, map[bool]string{true: ", such as 64KB"}[f.tag.Get("unit") == "bytes"])
	}
	return int64(n * factor), nil
}
