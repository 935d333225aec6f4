package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against a host that is ended by the signal that its settings have changed, because it has not yet
// read them.
func TestHangupWhileStarting(t *testing.T) {
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "pearshelfd"), filepath.Join(dir, "settings.yaml")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(program, "-s", settings)
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the daemon reads its settings
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString("no: settings\n"); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	var exit *exec.ExitError
	if err := daemon.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitSettings {
		t.Errorf("ended by %v, want exit code %d for its settings", err, exitSettings)
	}
}
