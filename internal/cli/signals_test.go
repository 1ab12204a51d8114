package cli_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/internal/cli"
)

// settingsVariable names the settings file of a process that runs a balancer instead of the tests.
const settingsVariable = "RATTANWOOD_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		os.Exit(cli.Balancer([]string{"serve", file}))
	}
	os.Exit(m.Run())
}

// TestSignalsRightAfterStart guards against processes that end by themselves because a request to read the settings again
// arrives before they have read them for the first time.
func TestSignalsRightAfterStart(t *testing.T) {
	c := qt.New(t)
	// The process waits for the writer of its settings.
	file := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(syscall.Mkfifo(file, 0o600), qt.IsNil)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsVariable+"="+file)
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() { _ = cmd.Process.Kill() })
	w, err := os.OpenFile(file, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	for range 3 {
		c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	_, err = w.WriteString("{")
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	err = cmd.Wait()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	c.Assert(ok && status.Exited(), qt.IsTrue, qt.Commentf("%v, %s", err, output.String()))
	c.Assert(status.ExitStatus(), qt.Equals, 1)
	c.Assert(output.String(), qt.Contains, "settings.json")
}
