package node

import (
	"strings"
	"testing"

	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// A module that cannot be started anew ends the program aloud, not in silence.
func TestDispatcherThatCannotRestartEndsTheProgram(t *testing.T) {
	set, _ := settings.Parse([]byte(testSettings))
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set})
	n.sched = &scheduler.Scheduler{} // it has no module, and settings that none takes
	if err := n.Run(); err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("got %v", err)
	}
}
