package testcluster

import (
	"os"
	"testing"
	"time"
)

// The real program keeps the properties while its workers misbehave in every way that they may.
func TestFaultDrillOfTheRealProgram(t *testing.T) {
	o, err := RunFaultDrill(t.Context(), FaultDrill{Program: buildScheduler(t), Duration: 4 * time.Second,
		Seed: 7, Rate: 50, Slack: 2 * time.Second}) // the machine may be busy with other tests
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d jobs, %d served, %d refused, %d failed, %d disconnected, %d attempts, %d events", o.Jobs,
		o.Served, o.Refused, o.Failed, o.Disconnected, o.Attempts, o.Events)
	for _, f := range o.Findings {
		t.Error(f)
	}
	if o.Jobs < 20 || o.Served < 5 {
		t.Errorf("too little happened: %+v", o)
	}
	if t.Failed() {
		for _, line := range o.Log {
			t.Log(line)
		}
	}
}

// A program that does not start is an error.
func TestStartFails(t *testing.T) {
	bin := buildScheduler(t)
	if _, err := Start(bin, t.TempDir(), "n0", ""); err == nil {
		t.Error("it started without a discovery")
	}
	if _, err := os.Stat(bin); err != nil {
		t.Error(err)
	}
}
