package kqcommand

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/security/kqauthority"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	caFileName      = "ca"
	day             = 24 * time.Hour
	tokenFileMode   = 0o600
	defaultCADays   = "3650"
	defaultNodeDays = "90"
)

var (
	errCAExists      = errors.New("there is an authority already")
	errReservedName  = errors.New("the name is reserved for the files of the CA; no node may have it")
	errNoCertificate = errors.New("file has no certificate in PEM format")
)

func (c *Command) addKeys() {
	parent := c.app.Command("keys", "Create the fleet's private CA, nodes' certificates and operators' tokens.")
	c.addKeysInit(parent)
	c.addKeysIssue(parent)
	c.addKeysShow(parent)
	c.addKeysToken(parent)
}

func (c *Command) addKeysInit(parent *kingpin.CmdClause) {
	clause := parent.Command("init", "Create a private CA. Keep its key off the nodes.")
	folder := clause.Flag("folder", "Directory to write ca.pem and ca.key to.").Required().String()
	days := clause.Flag("days", "Validity of the CA in days.").Default(defaultCADays).Int()
	c.register(clause, func(context.Context) error {
		if _, err := kqauthority.Read(*folder, caFileName); err == nil {
			return fmt.Errorf("init %s: %w", *folder, errCAExists)
		}
		a, err := kqauthority.New(time.Now(), time.Duration(*days)*day)
		if err != nil {
			return fmt.Errorf("init: %w", err)
		}
		if err := a.KeyPair().Write(*folder, caFileName); err != nil {
			return fmt.Errorf("init: %w", err)
		}
		c.printWritten(*folder, caFileName)
		return nil
	})
}

func (c *Command) addKeysIssue(parent *kingpin.CmdClause) {
	clause := parent.Command("issue", "Create a node's key and certificate.")
	node := clause.Arg("node", "The node's name, as in its settings.").Required().String()
	folder := clause.Flag("folder", "Directory of ca.pem and ca.key, to which the node's files are written.").Required().String()
	addresses := clause.Flag("address", "IP address or DNS name at which operators reach the node; repeatable.").Default("127.0.0.1").Strings()
	days := clause.Flag("days", "Validity of the certificate in days.").Default(defaultNodeDays).Int()
	c.register(clause, func(context.Context) error {
		if *node == caFileName {
			return fmt.Errorf("issue %s: %w", *node, errReservedName)
		}
		ca, err := kqauthority.Read(*folder, caFileName)
		if err != nil {
			return fmt.Errorf("issue: %w", err)
		}
		a, err := kqauthority.Load(ca)
		if err != nil {
			return fmt.Errorf("issue: %w", err)
		}
		pair, err := a.Issue(kqauthority.Subject{Node: kqname.Node(*node), Addresses: *addresses}, time.Now(), time.Duration(*days)*day)
		if err != nil {
			return fmt.Errorf("issue: %w", err)
		}
		if err := pair.Write(*folder, *node); err != nil {
			return fmt.Errorf("issue: %w", err)
		}
		c.printWritten(*folder, *node)
		return nil
	})
}

func (c *Command) addKeysShow(parent *kingpin.CmdClause) {
	clause := parent.Command("show", "Show the subjects of certificates and when they expire.")
	files := clause.Arg("file", "PEM files.").Required().Strings()
	c.register(clause, func(context.Context) error {
		for _, file := range *files {
			certificate, err := readCertificate(file)
			if err != nil {
				return err
			}
			left := time.Until(certificate.NotAfter).Truncate(time.Hour)
			fmt.Fprintf(c.out, "%s: %s, %s, valid to %s, %s left\n", file, subjectNames(certificate), certificateKind(certificate),
				certificate.NotAfter.UTC().Format(time.RFC3339), left)
		}
		return nil
	})
}

func (c *Command) addKeysToken(parent *kingpin.CmdClause) {
	clause := parent.Command("token", "Create an operator's token. It is printed once and not stored.")
	name := clause.Arg("name", "The operator's name, as shown in the history.").Required().String()
	team := clause.Flag("team", "The member's team; without one the operator is an admin.").String()
	file := clause.Flag("file", "Token file to append the line with the token's hash to; if omitted, the line is printed.").String()
	c.register(clause, func(context.Context) error {
		o := kqoperator.Operator{Name: *name, Role: kqoperator.Admin}
		if *team != "" {
			o.Role, o.Team = kqoperator.Member, kqname.Team(*team)
		}
		token, line, err := kqoperator.NewToken(o)
		if err != nil {
			return fmt.Errorf("create token: %w", err)
		}
		if *file == "" {
			fmt.Fprintf(c.out, "token %s\nline  %s\n", token, line)
			return nil
		}
		if err := appendLine(*file, line); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "token %s\n", token)
		return nil
	})
}

// printWritten prints the paths of a certificate and key that were written.
func (c *Command) printWritten(folder, name string) {
	certificate, key := kqauthority.Paths(folder, name)
	fmt.Fprintf(c.out, "wrote %s and %s\n", certificate, key)
}

// appendLine appends a line to the token file, and creates it if it does not exist.
func appendLine(file, line string) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, tokenFileMode)
	if err != nil {
		return fmt.Errorf("append token: %w", err)
	}
	_, err = fmt.Fprintln(f, line)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("append token: %w", err)
	}
	return nil
}

func readCertificate(file string) (*x509.Certificate, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("show: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, fmt.Errorf("show %s: %w", file, errNoCertificate)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("show %s: %w", file, err)
	}
	return certificate, nil
}

// subjectNames returns all names of a certificate: the common name, URIs, IP addresses
// and DNS names.
func subjectNames(certificate *x509.Certificate) string {
	names := []string{certificate.Subject.CommonName}
	for _, u := range certificate.URIs {
		names = append(names, u.String())
	}
	for _, ip := range certificate.IPAddresses {
		names = append(names, ip.String())
	}
	return strings.Join(append(names, certificate.DNSNames...), " ")
}

func certificateKind(certificate *x509.Certificate) string {
	if certificate.IsCA {
		return "CA"
	}
	return "node"
}
