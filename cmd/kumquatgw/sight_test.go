package main_test

import (
	"io"
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
	// The signal and the leave are told by different parts, in no order.
	rest, err := io.ReadAll(n.lines)
	if err != nil {
		t.Fatal(err)
	}
	text, last := string(rest), -1
	if !strings.Contains(text, "event=signal") || !strings.Contains(text, "signal=terminated") {
		t.Errorf("no line of the signal that ends the node in\n%s", text)
	}
	for _, step := range []string{"step=begun", "callers have gone", "the others know", "no calls are taken", "node: Stopped."} {
		at := strings.Index(text, step)
		if at <= last {
			t.Errorf("%q is not told after the step before in\n%s", step, text)
		}
		last = at
	}
	if _, end, _ := strings.Cut(text, "node: Stopped."); !strings.Contains(end, "calls=0") || !strings.Contains(end, "event=stopped") {
		t.Errorf("line of the end %q", end)
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
