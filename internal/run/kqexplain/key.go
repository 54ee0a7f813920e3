package kqexplain

import "fmt"

// keyCause describes why a call was refused for its API key, and which node decided so by which
// configuration version.
func (l *Log) keyCause(end line, last attempt) string {
	switch end.Reason {
	case "no_key":
		return fmt.Sprintf("no key. By version %d the document has workspaces, route %q does not allow anonymous calls, and %s read no API key: the Authorization header was missing, came twice, had another scheme than Bearer, or a key of over 512 bytes.", end.Version, end.Route, end.Node)
	case "unknown_key":
		return fmt.Sprintf("unknown key. No workspace holds a key whose digest begins with %s by version %d at %s, and the peers that it asked knew no newer version.", end.Key, end.Version, end.Node)
	case "unverified_key":
		return fmt.Sprintf("key not verified. No workspace holds a key whose digest begins with %s by version %d at %s, but within %.0f ms no peer answered, a newer version that a peer knew was not in force, or too many calls waited; the key may be valid%s.", end.Key, end.Version, end.Node, end.Took, l.unavailableMembers(end))
	case "unknown_parent":
		return fmt.Sprintf("unknown parent. The call named a call that %s is not running: that call had ended, or the node had been restarted since.", end.Node)
	}
	where := "at its entry, " + end.Node
	if last.Reason == "key_revoked" {
		where = "at the gate of " + last.To
	}
	return fmt.Sprintf("key revoked. The key of workspace %s whose digest begins with %s was valid by version %d and was removed while the call waited %s for %.0f ms.", end.Workspace, end.Key, end.Version, where, end.Took)
}
