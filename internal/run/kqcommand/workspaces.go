package kqcommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	workspacesPath = kqapi.Prefix + "/workspaces"
	// keyIDDigits is how many digits of a key's digest log lines show as the key's id.
	keyIDDigits = 16
	// maxKeyBytes is the length of the longest key that entries accept.
	maxKeyBytes = 512
)

var (
	errKey          = errors.New("a key has 1 to 512 visible characters on one line")
	errKeyHeld      = errors.New("the workspace holds the key already")
	errKeyNotHeld   = errors.New("the workspace does not hold the key")
	errAmbiguousKey = errors.New("give either the key or its id")
)

type (
	// workspaceItem is the response with one workspace.
	workspaceItem struct {
		Version kqname.ConfigVersion `json:"version"`
		Item    kqdocument.Workspace `json:"item"`
	}

	// keyOptions holds the flags and arguments of a command that changes a workspace's keys.
	keyOptions struct {
		access           *kqclient.Access
		name             *string
		id, reason, file *string
	}
)

// addWorkspaces adds the commands for workspaces and their API keys. A key is read from a file
// or the standard input, since arguments are visible to other users, and only its digest is
// sent.
func (c *Command) addWorkspaces() {
	parent := c.app.Command("workspaces", "List workspaces, and add and remove their API keys.")
	list := parent.Command("list", "List the workspaces with their rates and the ids of their keys.")
	access := addAccessFlags(list)
	asJSON := list.Flag("json", "Print JSON.").Bool()
	c.register(list, func(ctx context.Context) error {
		var answer struct {
			Version kqname.ConfigVersion   `json:"version"`
			Items   []kqdocument.Workspace `json:"items"`
		}
		if err := c.callAPI(ctx, *access, http.MethodGet, workspacesPath, nil, &answer); err != nil {
			return err
		}
		if *asJSON {
			return c.printJSON(answer)
		}
		return c.printWorkspaces(answer.Items)
	})
	add := parent.Command("add-key", "Let callers with a key in, within seconds on all nodes.")
	addOptions := addKeyFlags(add)
	c.register(add, func(ctx context.Context) error {
		digest, err := readKeyDigest(*addOptions.file)
		if err != nil {
			return err
		}
		return c.changeKeys(ctx, addOptions, func(digests []string) ([]string, error) {
			if slices.Contains(digests, digest) {
				return nil, errKeyHeld
			}
			return append(slices.Clone(digests), digest), nil
		})
	})
	remove := parent.Command("remove-key", "Refuse a key from now on. Calls that wait with it are refused too.")
	removeOptions := addKeyFlags(remove)
	keyID := remove.Flag("key-id", "The key's id as list and log lines show it, in place of the key.").String()
	c.register(remove, func(ctx context.Context) error {
		prefix := *keyID
		if prefix != "" && (*removeOptions.file != "" || len(prefix) < keyIDDigits) {
			return fmt.Errorf("remove key: %w; an id has %d digits", errAmbiguousKey, keyIDDigits)
		}
		if prefix == "" {
			var err error
			if prefix, err = readKeyDigest(*removeOptions.file); err != nil {
				return err
			}
		}
		return c.changeKeys(ctx, removeOptions, func(digests []string) ([]string, error) {
			left := slices.DeleteFunc(slices.Clone(digests), func(d string) bool { return strings.HasPrefix(d, prefix) })
			if len(left) == len(digests) {
				return nil, errKeyNotHeld
			}
			return left, nil
		})
	})
}

func addKeyFlags(clause *kingpin.CmdClause) keyOptions {
	return keyOptions{
		access: addAccessFlags(clause),
		id:     clause.Flag("request-id", "Id of this change; a change repeated with the same id takes effect once.").String(),
		reason: clause.Flag("reason", "Reason of the change, shown in the history.").Required().String(),
		file:   clause.Flag("key-file", "File that holds the key; - reads the standard input.").String(),
		name:   clause.Arg("workspace", "The workspace's name.").Required().String(),
	}
}

// changeKeys changes the digests of a workspace. The change fails if another version came
// between, so that no other operator's change is undone.
func (c *Command) changeKeys(ctx context.Context, o keyOptions, change func([]string) ([]string, error)) error {
	path := workspacesPath + "/" + url.PathEscape(*o.name)
	var found workspaceItem
	if err := c.callAPI(ctx, *o.access, http.MethodGet, path, nil, &found); err != nil {
		return err
	}
	digests, err := change(found.Item.KeyDigests)
	if err != nil {
		return fmt.Errorf("change keys of %s: %w", *o.name, err)
	}
	found.Item.KeyDigests = digests
	data, err := json.Marshal(found.Item)
	if err != nil {
		return fmt.Errorf("change keys of %s: %w", *o.name, err)
	}
	var result kqchange.Result
	body := kqapi.ItemChange{Change: kqapi.Change{RequestID: *o.id, Base: &found.Version, Reason: *o.reason}, Item: data}
	if err := c.callAPI(ctx, *o.access, http.MethodPut, path, body, &result); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "workspace %s holds %d keys in version %d\n", *o.name, len(digests), result.Version)
	return nil
}

// readKeyDigest returns the digest of the key in a file, in hex. White space around the key does
// not count.
func readKeyDigest(file string) (string, error) {
	if file == "" {
		file = stdinFile
	}
	data, err := readItem(file)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := bytes.TrimSpace(data)
	isInvisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(key) == 0 || len(key) > maxKeyBytes || bytes.ContainsFunc(key, isInvisible) {
		return "", fmt.Errorf("read key: %w", errKey)
	}
	digest := sha256.Sum256(key)
	return hex.EncodeToString(digest[:]), nil
}

func (c *Command) printWorkspaces(list []kqdocument.Workspace) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKSPACE\tCLASS\tRATE\tBURST\tKEYS")
	for _, w := range list {
		ids := make([]string, 0, len(w.KeyDigests))
		for _, d := range w.KeyDigests {
			ids = append(ids, d[:min(len(d), keyIDDigits)])
		}
		rate := "unlimited"
		if w.RatePerS > 0 {
			rate = strconv.FormatFloat(w.RatePerS, 'f', -1, 64)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", w.Name, w.Class, rate, strconv.FormatFloat(w.Burst, 'f', -1, 64), strings.Join(ids, " "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print workspaces: %w", err)
	}
	return nil
}
