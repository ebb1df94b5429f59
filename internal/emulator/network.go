package emulator

import "math/rand/v2"

// The places: regions with zones. Zone i lies in region i / ZonesPerRegion.
const (
	Regions        = 7
	ZonesPerRegion = 2
	Zones          = Regions * ZonesPerRegion
)

const noRegion = -1

// Delays one way, in microseconds.
const (
	zoneDelay        = 250        // within a zone
	regionDelay      = 900        // between the zones of a region
	delayPerRegion   = 11_000     // for each region on the way; the regions lie on a ring
	interRegionDelay = 6_000      // between regions, in addition
	jitterFraction   = 0.2        // a delay is up to this much longer
	microsPerByte    = 1.0 / 125. // a link of 1 Gbit/s
)

// network carries messages between zones. Each arrives after its delay. One that meets a cut waits for
// the end of the cut, as TCP retransmits; by then its sender or receiver may have given up.
type network struct {
	fleet     *fleet
	random    *rand.Rand
	cutRegion int // the region that is cut off from all others, or noRegion
	blocked   []blockedMessage
}

// blockedMessage waits for the end of a cut.
type blockedMessage struct {
	from, to  int // zones
	bytes     int
	onArrival func()
}

func region(zone int) int { return zone / ZonesPerRegion }

// delay is how long a message takes from zone to zone, without the time for its bytes.
func (n *network) delay(from, to int) Micros {
	d := Micros(zoneDelay)
	switch a, b := region(from), region(to); {
	case from == to:
	case a == b:
		d = regionDelay
	default:
		distance := max(a-b, b-a)
		d = interRegionDelay + delayPerRegion*Micros(min(distance, Regions-distance))
	}
	return d + Micros(n.random.Float64()*jitterFraction*float64(d))
}

// separated tells whether a cut lies between two zones.
func (n *network) separated(a, b int) bool {
	return n.cutRegion >= 0 && region(a) != region(b) && (region(a) == n.cutRegion || region(b) == n.cutRegion)
}

// send calls onArrival once a message of that many bytes has arrived, after the cut if there is one.
func (n *network) send(from, to, bytes int, onArrival func()) {
	if n.separated(from, to) {
		n.blocked = append(n.blocked, blockedMessage{from, to, bytes, onArrival})
		return
	}
	n.fleet.after(n.delay(from, to)+Micros(float64(bytes)*microsPerByte), onArrival)
}

// heal ends the cut. The messages that waited for it are sent.
func (n *network) heal() {
	n.cutRegion = noRegion
	blocked := n.blocked
	n.blocked = nil
	for _, m := range blocked {
		n.send(m.from, m.to, m.bytes, m.onArrival)
	}
}
