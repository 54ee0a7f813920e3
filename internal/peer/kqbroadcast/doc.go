// Package kqbroadcast broadcasts small messages to every node by flooding. A message
// may arrive late or not at all, so its content must tolerate delay and loss.
package kqbroadcast
