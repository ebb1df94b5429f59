package emulator

import "math/rand/v2"

// The places: regions with zones. Zone i lies in region i / ZonesInRegion.
const (
	Regions        = 7
	ZonesPerRegion = 2
	Zones          = Regions * ZonesPerRegion
)

// Delays one way.
const (
	zoneDelay        = 250        // within a zone
	regionDelay      = 900        // between the zones of a region
	delayPerRegion   = 11_000     // for each region on the way, on a ring
	interRegionDelay = 6_000      // between regions, beside
	jitterFraction   = 0.2        // up to this more
	microsPerByte    = 1.0 / 125. // micros: a line of 1 Gbit/s
)

// network carries messages between zones. Each message comes after its delay. One that meets a
// cut waits for the cut's end, as TCP sends again; who waits for it may have given up by then.
type network struct {
	fleet     *fleet
	random    *rand.Rand
	cutRegion int // the region that is cut off from all others; -1: none
	blocked   []blockedMessage
}

// blockedMessage is a message that waits for the end of a cut.
type blockedMessage struct {
	from, to int
	bytes    int
	do       func()
}

func region(zone int) int { return zone / ZonesPerRegion }

// delay is how long a message takes one way.
func (n *network) delay(from, to int) Micros {
	d := Micros(zoneDelay)
	switch a, b := region(from), region(to); {
	case from == to:
	case a == b:
		d = regionDelay
	default:
		way := max(a-b, b-a)
		d = interRegionDelay + delayPerRegion*Micros(min(way, Regions-way))
	}
	return d + Micros(n.random.Float64()*jitterFraction*float64(d))
}

// separated tells whether a cut lies between two zones.
func (n *network) separated(a, b int) bool {
	return n.cutRegion >= 0 && region(a) != region(b) && (region(a) == n.cutRegion || region(b) == n.cutRegion)
}

// send has something done once a message of so many bytes has gone from zone to zone.
func (n *network) send(from, to, bytes int, do func()) {
	if n.separated(from, to) {
		n.blocked = append(n.blocked, blockedMessage{from, to, bytes, do})
		return
	}
	n.fleet.after(n.delay(from, to)+Micros(float64(bytes)*microsPerByte), do)
}

// heal ends the cut. What waited for it goes on its way.
func (n *network) heal() {
	n.cutRegion = -1
	waiting := n.blocked
	n.blocked = nil
	for _, h := range waiting {
		n.send(h.from, h.to, h.bytes, h.do)
	}
}
