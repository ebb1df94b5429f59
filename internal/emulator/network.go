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
	inZone     = 250        // within a zone
	inRegion   = 900        // between the zones of a region
	perRegion  = 11_000     // for each region on the way, on a ring
	firstHop   = 6_000      // between regions, beside
	jitterPart = 0.2        // up to this more
	perByte    = 1.0 / 125. // micros: a line of 1 Gbit/s
)

// network carries messages between zones. Each message comes after its delay. One that meets a
// cut waits for the cut's end, as TCP sends again; who waits for it may have given up by then.
type network struct {
	f      *fleet
	random *rand.Rand
	cut    int // the region that is cut off from all others; -1: none
	held   []held
}

// held is a message that waits for the end of a cut.
type held struct {
	from, to int
	bytes    int
	do       func()
}

func region(zone int) int { return zone / ZonesPerRegion }

// delay is how long a message takes one way.
func (n *network) delay(from, to int) Micros {
	d := Micros(inZone)
	switch a, b := region(from), region(to); {
	case from == to:
	case a == b:
		d = inRegion
	default:
		way := max(a-b, b-a)
		d = firstHop + perRegion*Micros(min(way, Regions-way))
	}
	return d + Micros(n.random.Float64()*jitterPart*float64(d))
}

// parted tells whether a cut lies between two zones.
func (n *network) parted(a, b int) bool {
	return n.cut >= 0 && region(a) != region(b) && (region(a) == n.cut || region(b) == n.cut)
}

// send has something done once a message of so many bytes has gone from zone to zone.
func (n *network) send(from, to, bytes int, do func()) {
	if n.parted(from, to) {
		n.held = append(n.held, held{from, to, bytes, do})
		return
	}
	n.f.after(n.delay(from, to)+Micros(float64(bytes)*perByte), do)
}

// heal ends the cut. What waited for it goes on its way.
func (n *network) heal() {
	n.cut = -1
	waiting := n.held
	n.held = nil
	for _, h := range waiting {
		n.send(h.from, h.to, h.bytes, h.do)
	}
}
