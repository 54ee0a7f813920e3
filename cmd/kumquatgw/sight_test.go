package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// Callers were cut while a node left, and nobody could tell from the logs what had
// ended it. The node's own lines tell which signals came, how far its leave was and
// how much was under way; they are told again a while later.
func TestLogTellsOfSignalsAndOfTheLeave(t *testing.T) {
	platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	n := node(t, settings(t, "front", platform, "", ""))
	n.after(t, "Started as")
	n.signal(t, syscall.SIGHUP)
	if line := n.after(t, "event=signal"); !strings.Contains(line, "leaving=false") || !strings.Contains(line, "signal=hangup") {
		t.Errorf("line of the signal %q", line)
	}
	if line := n.after(t, "event=notable"); !strings.Contains(line, "Signal hangup.") {
		t.Errorf("told again: %q, want the signal", line)
	}
	n.signal(t, syscall.SIGTERM)
	if line := n.after(t, "event=signal"); !strings.Contains(line, "signal=terminated") {
		t.Errorf("line of the signal %q", line)
	}
	for _, step := range []string{"begun", "callers have gone", "the others know", "no calls are taken"} {
		n.after(t, step)
	}
	if line := n.after(t, "node: Stopped."); !strings.Contains(line, "calls=0") || !strings.Contains(line, "event=stopped") {
		t.Errorf("line of the end %q", line)
	}
}

// A process that is killed writes no last line. Its peers tell that it is another
// one that came back, and what they held the former to be: "alive" or "leaving" means
// that it said no goodbye, and that what it was doing was cut.
func TestPeersTellOfAProcessThatEndedWithoutAGoodbye(t *testing.T) {
	for _, c := range []struct {
		end  os.Signal
		want string
	}{{syscall.SIGTERM, "goodbye=true"}, {syscall.SIGKILL, "goodbye=false"}} {
		t.Run(c.end.String(), func(t *testing.T) {
			platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
			stays := node(t, settings(t, "stays", platform, "", ""))
			file := settings(t, "goes", platform, stays.after(t, "control "), "")
			goes := node(t, file)
			stays.after(t, "member=goes")
			goes.signal(t, c.end)
			<-goes.ended
			node(t, file)
			if line := stays.after(t, "event=restarted"); !strings.Contains(line, c.want) {
				t.Errorf("%q, want %s", line, c.want)
			}
		})
	}
}
