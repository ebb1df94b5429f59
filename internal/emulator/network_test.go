package emulator

import "testing"

// A network cut, which separates a region from all others, holds back the messages across the cut until the
// cut ends. The cut does not delay other messages.
func TestCutRegion(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	arrivals := map[string]Micros{}
	f.network.cutRegion = 3
	for name, zones := range map[string][2]int{
		"within": {6, 7}, "out": {6, 0}, "in": {0, 7}, "elsewhere": {0, 13},
	} {
		f.network.send(zones[0], zones[1], 0, func() { arrivals[name] = f.now })
	}
	f.runUntil(f.atFraction(0) + second)
	if len(arrivals) != 2 || arrivals["within"] == 0 || arrivals["elsewhere"] == 0 {
		t.Errorf("arrivals by message during the cut of region 3: %v, want only \"within\" and \"elsewhere\"",
			arrivals)
	}
	f.network.heal()
	f.runUntil(f.atFraction(0) + 2*second)
	if arrivals["out"] < f.atFraction(0)+second || arrivals["in"] < f.atFraction(0)+second {
		t.Errorf("arrivals by message after the cut of region 3: %v, want \"out\" and \"in\" after its end",
			arrivals)
	}
}

// The delay of a message is shortest within a zone and longer within a region. Between regions, the delay
// grows with the distance of the regions on the ring.
func TestNetworkDelays(t *testing.T) {
	f := newIdleFleet(t, shortRun("calm"))
	for _, c := range []struct {
		from, to           int
		minDelay, maxDelay Micros
	}{
		{0, 0, 250, 300},
		{0, 1, 900, 1080},
		{0, 2, 17_000, 20_400},
		{0, 13, 17_000, 20_400},
		{0, 7, 39_000, 46_800},
	} {
		for range 100 {
			if d := f.network.delay(c.from, c.to); d < c.minDelay || d > c.maxDelay {
				t.Errorf("a message from zone %d to zone %d has a delay of %d us, want %d to %d us",
					c.from, c.to, d, c.minDelay, c.maxDelay)
			}
		}
	}
}
