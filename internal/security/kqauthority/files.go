package kqauthority

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
)

// Paths returns where Write puts a pair of the given name.
func Paths(folder, name string) (certificate, key string) {
	return filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
}

// Write puts the pair into NAME.pem and NAME.key of a folder, the key for its
// owner's eyes only. Each file appears whole: a node that reads while it is
// written would otherwise meet half a certificate.
func (p Pair) Write(folder, name string) error {
	certificate, key := Paths(folder, name)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("write pair: %w", err)
	}
	return errors.Join(replace(key, p.Key, privateMode), replace(certificate, p.Certificate, publicMode))
}

// Read reads a pair that Write wrote.
func Read(folder, name string) (p Pair, err error) {
	certificate, key := Paths(folder, name)
	if p.Certificate, err = os.ReadFile(certificate); err != nil {
		return p, fmt.Errorf("read pair: %w", err)
	}
	if p.Key, err = os.ReadFile(key); err != nil {
		return p, fmt.Errorf("read pair: %w", err)
	}
	return p, nil
}

func replace(file string, data []byte, mode os.FileMode) error {
	fresh := file + ".new"
	if err := os.WriteFile(fresh, data, mode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	if err := os.Rename(fresh, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
