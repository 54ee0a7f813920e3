// Package kqbroadcast broadcasts small messages to every node by flooding, and sends
// direct messages to single nodes. Delivery is best-effort: a message may arrive late
// or not at all, and is not sent again, so callers must tolerate delay and loss.
package kqbroadcast
