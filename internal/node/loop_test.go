package node

import (
	"strings"
	"testing"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// If the decision module cannot be restarted after a panic, Run ends with the error.
func TestDispatcherThatCannotRestartEndsTheProgram(t *testing.T) {
	set, _ := settings.Parse([]byte(testSettings))
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set})
	n.sched = &scheduler.Scheduler{} // The zero Scheduler has no decision module and invalid settings.
	if err := n.Run(); err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("Run returned %v, want an error about the setting Classes, which the zero Scheduler has not set",
			err)
	}
}
