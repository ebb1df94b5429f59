package node

import (
	"strings"
	"testing"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// A decision module that cannot be restarted ends the program with an error.
func TestDispatcherThatCannotRestartEndsTheProgram(t *testing.T) {
	set, _ := settings.Parse([]byte(testSettings))
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set})
	n.sched = &scheduler.Scheduler{} // it has no module, and settings that are invalid
	if err := n.Run(); err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("got %v", err)
	}
}
