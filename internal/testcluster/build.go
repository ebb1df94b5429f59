package testcluster

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build builds the scheduler's program into a folder and returns its path. root is the folder of the module,
// relative to the present one.
func Build(ctx context.Context, root, folder string) (program string, err error) {
	program, err = filepath.Abs(filepath.Join(folder, "dahliaford"))
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/dahliaford")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the scheduler: %w: %s", err, out)
	}
	return program, nil
}
