package testcluster

import (
	"os"
	"testing"
	"time"
)

// A real scheduler process keeps the properties that package history checks while its workers show every
// fault that the protocol allows.
func TestFaultDrillOfTheRealProgram(t *testing.T) {
	o, err := RunFaultDrill(t.Context(), FaultDrill{Program: buildScheduler(t), Duration: 4 * time.Second,
		Seed: 7, Rate: 50, Slack: 2 * time.Second}) // slack: other tests may delay the processes
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d jobs, %d served, %d refused, %d failed, %d disconnects; %d attempts, %d history events",
		o.Jobs, o.Served, o.Refused, o.Failed, o.Disconnected, o.Attempts, o.Events)
	for _, f := range o.Findings {
		t.Error(f)
	}
	if o.Jobs < 20 || o.Served < 5 {
		t.Errorf("want at least 20 submitted and 5 served jobs, got outcome %+v", o)
	}
	if t.Failed() {
		for _, line := range o.Log {
			t.Log(line)
		}
	}
}

// Start returns an error for a scheduler without an address of discovery, whose process exits before it
// serves.
func TestStartFails(t *testing.T) {
	bin := buildScheduler(t)
	if _, err := Start(bin, t.TempDir(), "n0", ""); err == nil {
		t.Error("scheduler started without an address of discovery; want an error")
	}
	if _, err := os.Stat(bin); err != nil {
		t.Error(err)
	}
}
