package testcluster

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build compiles the scheduler's program into a folder and returns the absolute path of the executable. root
// is the root folder of the Go module, relative to the working directory.
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
