package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// roll prepares, approves and rolls the deployment's first bundle with the operators' commands.
func (t *trial) roll(ctx context.Context) error {
	src, err := json.MarshalIndent(t.deploy.bundle(), "", "  ")
	if err != nil {
		return eris.Wrap(err, "bundle: encode")
	}
	return t.rollContent(ctx, append([]byte("// First bundle of the trial.\n"), src...))
}

// rollContent prepares, approves and rolls a bundle with the operators' commands.
func (t *trial) rollContent(ctx context.Context, src []byte) error {
	file := func(name string) string { return filepath.Join(t.dir, name) }
	if err := os.WriteFile(file("bundle.hujson"), src, fileMode); err != nil {
		return eris.Wrap(err, "bundle: write file")
	}
	at := "--platform=http://" + platformAddress().String()
	for _, args := range [][]string{
		{"bundle", "prepare", at, "--by=preparer", "--out=" + file("prepared.json"), file("bundle.hujson")},
		{"bundle", "approve", "--key=" + file("approver.key"), "--out=" + file("approved.json"), file("prepared.json")},
		{"bundle", "roll", at, file("approved.json")},
	} {
		out, err := exec.CommandContext(ctx, t.binary, args...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%v: %w\n%s", args[:2], err, out)
		}
		t.logf("%s", out[:max(len(out)-1, 0)])
	}
	return nil
}
