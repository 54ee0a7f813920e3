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
	caName      = "ca"
	day         = 24 * time.Hour
	tokenMode   = 0o600
	caDays      = "3650"
	defaultDays = "90"
)

var (
	errExists = errors.New("there is an authority already")
	errTaken  = errors.New("the files of that name are the CA's; no node may have it")
	errShow   = errors.New("file holds no certificate")
)

func (c *Command) addKeys() {
	parent := c.app.Command("keys", "Make the fleet's private CA, nodes' certificates and operators' tokens.")
	c.addKeysInit(parent)
	c.addKeysIssue(parent)
	c.addKeysShow(parent)
	c.addKeysToken(parent)
}

func (c *Command) addKeysInit(parent *kingpin.CmdClause) {
	clause := parent.Command("init", "Make a private CA. Keep its key off the nodes.")
	folder := clause.Flag("folder", "Where the CA's ca.pem and ca.key are put.").Required().String()
	days := clause.Flag("days", "How long the CA is valid.").Default(caDays).Int()
	c.add(clause, func(context.Context) error {
		if _, err := kqauthority.Read(*folder, caName); err == nil {
			return fmt.Errorf("init %s: %w", *folder, errExists)
		}
		a, err := kqauthority.New(time.Now(), time.Duration(*days)*day)
		if err != nil {
			return fmt.Errorf("init: %w", err)
		}
		if err := a.Pair().Write(*folder, caName); err != nil {
			return fmt.Errorf("init: %w", err)
		}
		c.wrote(*folder, caName)
		return nil
	})
}

func (c *Command) addKeysIssue(parent *kingpin.CmdClause) {
	clause := parent.Command("issue", "Make a node's key and certificate.")
	node := clause.Arg("node", "The node's name, as in its settings.").Required().String()
	folder := clause.Flag("folder", "Where ca.pem and ca.key are, and the node's files are put.").Required().String()
	addresses := clause.Flag("address", "IP number or host name at which operators reach the node; repeat for more.").Default("127.0.0.1").Strings()
	days := clause.Flag("days", "How long the certificate is valid.").Default(defaultDays).Int()
	c.add(clause, func(context.Context) error {
		if *node == caName {
			return fmt.Errorf("issue %s: %w", *node, errTaken)
		}
		ca, err := kqauthority.Read(*folder, caName)
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
		c.wrote(*folder, *node)
		return nil
	})
}

func (c *Command) addKeysShow(parent *kingpin.CmdClause) {
	clause := parent.Command("show", "Tell whom certificates are for and when they lapse.")
	files := clause.Arg("file", "PEM files.").Required().Strings()
	c.add(clause, func(context.Context) error {
		for _, file := range *files {
			certificate, err := readCertificate(file)
			if err != nil {
				return err
			}
			left := time.Until(certificate.NotAfter).Truncate(time.Hour)
			fmt.Fprintf(c.out, "%s: %s, %s, valid to %s, %s left\n", file, subject(certificate), purpose(certificate),
				certificate.NotAfter.UTC().Format(time.RFC3339), left)
		}
		return nil
	})
}

func (c *Command) addKeysToken(parent *kingpin.CmdClause) {
	clause := parent.Command("token", "Make an operator's token; it is printed once and kept nowhere.")
	name := clause.Arg("name", "The operator's name, as it stands in the history.").Required().String()
	team := clause.Flag("team", "The member's team; without one the operator is an admin.").String()
	file := clause.Flag("file", "Tokens' file that the hashed line is added to; else the line is printed.").String()
	c.add(clause, func(context.Context) error {
		o := kqoperator.Operator{Name: *name, Role: kqoperator.Admin}
		if *team != "" {
			o.Role, o.Team = kqoperator.Member, kqname.Team(*team)
		}
		token, line, err := kqoperator.NewToken(o)
		if err != nil {
			return fmt.Errorf("make token: %w", err)
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

func (c *Command) wrote(folder, name string) {
	certificate, key := kqauthority.Paths(folder, name)
	fmt.Fprintf(c.out, "wrote %s and %s\n", certificate, key)
}

func appendLine(file, line string) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, tokenMode)
	if err != nil {
		return fmt.Errorf("add token: %w", err)
	}
	_, err = fmt.Fprintln(f, line)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("add token: %w", err)
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
		return nil, fmt.Errorf("show %s: %w", file, errShow)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("show %s: %w", file, err)
	}
	return certificate, nil
}

func subject(certificate *x509.Certificate) string {
	names := []string{certificate.Subject.CommonName}
	for _, u := range certificate.URIs {
		names = append(names, u.String())
	}
	for _, ip := range certificate.IPAddresses {
		names = append(names, ip.String())
	}
	return strings.Join(append(names, certificate.DNSNames...), " ")
}

func purpose(certificate *x509.Certificate) string {
	if certificate.IsCA {
		return "CA"
	}
	return "node"
}
