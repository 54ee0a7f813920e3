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
	progressInterval = time.Second
	clearLine        = "\r\033[K"
)

// withProgress runs a long command and shows its elapsed time on one line of the
// terminal. It shows nothing if out is not a terminal, such as a file or a pipe, where
// the line would clutter the output.
func withProgress(ctx context.Context, out io.Writer, name string, run func(context.Context) error) error {
	if !isTerminal(out) {
		return run(ctx)
	}
	progressCtx, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { showProgress(progressCtx, out, name) })
	defer group.Wait()
	defer stop()
	return run(ctx)
}

// showProgress updates the line until ctx is done, then clears it.
func showProgress(ctx context.Context, out io.Writer, name string) {
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
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
