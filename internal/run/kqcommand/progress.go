package kqcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	progressEvery = time.Second
	clearLine     = "\r\033[K"
)

// withProgress runs long work with a line that tells how long it has taken. It
// writes to terminals only: in a file the line would bury what matters.
func withProgress(ctx context.Context, out io.Writer, name string, run func(context.Context) error) error {
	if !isTerminal(out) {
		return run(ctx)
	}
	shown, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { showProgress(shown, out, name) })
	defer group.Wait()
	defer stop()
	return run(ctx)
}

func showProgress(ctx context.Context, out io.Writer, name string) {
	began := time.Now()
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	defer fmt.Fprint(out, clearLine)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fmt.Fprintf(out, "%s%s: %s", clearLine, name, now.Sub(began).Truncate(time.Second))
		}
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
