package emulator

import "math/rand/v2"

// Regions and zones of the fleet. Zone i lies in region i / ZonesPerRegion.
const (
	Regions        = 7
	ZonesPerRegion = 2
	Zones          = Regions * ZonesPerRegion
)

const noRegion = -1 // value of network.cutRegion while all regions are connected

// One-way delays of messages, in microseconds.
const (
	zoneDelay        = 250        // delay of a message within a zone, in microseconds
	regionDelay      = 900        // delay of a message between two zones of a region, in microseconds
	delayPerRegion   = 11_000     // microseconds for each step between neighbors on the ring of regions
	interRegionDelay = 6_000      // microseconds between different regions, in addition to delayPerRegion
	jitterFraction   = 0.2        // largest random increase of a delay, as a fraction of the delay
	microsPerByte    = 1.0 / 125. // transmission time of a byte on a link of 1 Gbit/s
)

// network carries messages between zones. Each message arrives after a delay. A cut is a network partition
// that separates one region from all others. A message across the cut is sent when the cut ends, as TCP
// would retransmit the message; the sender or the receiver may have timed out by then.
type network struct {
	fleet     *fleet
	random    *rand.Rand
	cutRegion int              // region that is cut off from all others, or noRegion
	blocked   []blockedMessage // messages that the cut holds back, in the order of sending
}

// blockedMessage is a message that is held back until the cut ends.
type blockedMessage struct {
	from, to  int // zones of the sender and of the receiver
	bytes     int
	onArrival func()
}

func region(zone int) int { return zone / ZonesPerRegion }

// delay returns a random delay of a message between two zones, without the transmission time of its bytes.
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

// separated reports whether the present network cut separates zones a and b.
func (n *network) separated(a, b int) bool {
	return n.cutRegion >= 0 && region(a) != region(b) && (region(a) == n.cutRegion || region(b) == n.cutRegion)
}

// send calls onArrival when a message of the given size arrives. If the cut separates the two zones, the
// message is held back until the cut ends.
func (n *network) send(from, to, bytes int, onArrival func()) {
	if n.separated(from, to) {
		n.blocked = append(n.blocked, blockedMessage{from, to, bytes, onArrival})
		return
	}
	n.fleet.scheduleAfter(n.delay(from, to)+Micros(float64(bytes)*microsPerByte), onArrival)
}

// heal ends the network cut and sends the messages that the cut held back.
func (n *network) heal() {
	n.cutRegion = noRegion
	blocked := n.blocked
	n.blocked = nil
	for _, m := range blocked {
		n.send(m.from, m.to, m.bytes, m.onArrival)
	}
}
