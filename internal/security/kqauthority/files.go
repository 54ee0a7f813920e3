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

// Paths returns the paths of the files that Write creates for a pair of that name.
func Paths(folder, name string) (certificate, key string) {
	return filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
}

// Write writes the pair to NAME.pem and NAME.key in a folder, which it creates if
// necessary; only the owner can read the key. Each file is replaced atomically, since a
// node that reads it at the same time could otherwise see half a certificate.
func (p KeyPair) Write(folder, name string) error {
	certificate, key := Paths(folder, name)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("write pair: %w", err)
	}
	return errors.Join(writeAtomically(key, p.Key, privateMode), writeAtomically(certificate, p.Certificate, publicMode))
}

// Read reads a pair from the files that Write creates.
func Read(folder, name string) (p KeyPair, err error) {
	certificate, key := Paths(folder, name)
	if p.Certificate, err = os.ReadFile(certificate); err != nil {
		return p, fmt.Errorf("read pair: %w", err)
	}
	if p.Key, err = os.ReadFile(key); err != nil {
		return p, fmt.Errorf("read pair: %w", err)
	}
	return p, nil
}

// writeAtomically writes a new file beside the old one and renames it.
func writeAtomically(file string, data []byte, mode os.FileMode) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	if err := os.Rename(temporary, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
