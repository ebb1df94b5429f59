package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"dahliaford/internal/settings"
)

// Fault is a thing that the world may do wrong, or that a party may do at any time. A
// budget bounds how often.
type Fault uint8

// The faults.
const (
	FaultConnectionRefused  Fault = iota // a connection does not come up
	FaultConnectionBroken                // a connection breaks after the last byte
	FaultAtCapacity                      // a worker turns an attempt away
	FaultServerError                     // a worker answers 500
	FaultRejected                        // a worker answers 400
	FaultDuplicateCallback               // a callback comes once more, at any later time
	FaultDroppedCallback                 // a callback never gets through
	FaultJobFailed                       // a job fails
	FaultJobHandedBack                   // a worker hands a job back unstarted
	FaultJobAborted                      // a worker loses a job
	FaultProcessCrash                    // a worker's process dies; it may start again
	FaultMachineUnreachable              // a worker's machine falls silent; it may come back
	FaultEndpointStatus                  // a worker is said to drain, to be gone, or to be ready again
	FaultClientDisconnect                // a client leaves
	FaultDuplicateID                     // the same id is submitted again
	FaultWatchClosed                     // the watch of the worker list is lost, or starts anew
	FaultReload                          // a new configuration holds
	FaultShutdown                        // SIGTERM
	FaultModulePanic                     // the module breaks down at the next event that it gets
	FaultTimerJitter                     // something comes just before a due point, or just after it
	faults
)

var faultNames = [faults]string{"refuse", "break", "turn-away", "error", "reject", "repeat", "lose", "fail",
	"hand-back", "kill", "die", "silence", "drain", "leave", "same-id", "lose-watch", "reload", "stop", "panic",
	"jitter"}

func (f Fault) String() string { return faultNames[f] }

// Class is the class of a request in a world.
type Class uint8

// The classes: of a post-reading nothing may run twice; a batch may be repeated within
// its rack and window.
const (
	Post Class = iota
	Batch
)

func (c Class) String() string { return [...]string{"post-reading", "district-batch"}[c] }

// Config describes a world.
type Config struct {
	Name  string
	About string
	// Requests are the classes of those that the client sends, in this order.
	Requests []Class
	// Racks has the rack of each worker.
	Racks []int
	// Faults has how often each may happen, Most how many in all.
	Faults    [faults]uint8
	MaxFaults uint8
	// AnswerOvertakesWrite lets a worker's answer reach the loop before the writer's word.
	AnswerOvertakesWrite bool
	// DeleteOvertakesRequest lets a DELETE overtake the request that it is about. No scheduler
	// can do anything about that: see docs/design.md.
	DeleteOvertakesRequest bool
	// RenewRequests lets a request that is over, and of which nothing is left, begin anew with
	// another id: a walk has no end then.
	RenewRequests bool

	// Rules are the settings in which it differs from the others.
	Rules Rules

	settings settings.Settings
}

// Rules are the settings that worlds may vary. The zero Rules are what most worlds have:
// cancelling allowed, lists asked for, four attempts, no second copies.
type Rules struct {
	CancelForbidden  bool   // an attempt that is out may not be cancelled
	HedgingAllowed   bool   // second copies are allowed
	MaxAttempts      int    // 0: four
	EndpointsPushed  bool   // lists are pushed
	PollInterval     Micros // without a watch a change counts as told after that; 0: 10 s
	ProgressInterval Micros // workers tell of progress so often; 0: never
	// LimitStaleness ends what a list is good for, as on sockets: ToldWithin is set, and a lost watch says
	// until when. Without it a list never gets old.
	LimitStaleness bool
}

func (r *Rules) maxAttempts() int {
	if r.MaxAttempts == 0 {
		return mostAttempts
	}
	return r.MaxAttempts
}

func (r *Rules) askWithin() Micros {
	if r.PollInterval == 0 {
		return askWithin
	}
	return r.PollInterval
}

// parse reads the settings of a world with these rules.
func (r *Rules) parse() (settings.Settings, error) {
	discovery := "on_request"
	if r.EndpointsPushed {
		discovery = "pushed"
	}
	set, err := settings.Parse(fmt.Appendf(nil, worldSettings, r.ProgressInterval, discovery, r.maxAttempts(),
		!r.CancelForbidden, r.HedgingAllowed, r.askWithin()))
	// The node does the same: a list that is pushed comes over a watch, too.
	set.Dispatch.PollEndpoints = true
	if r.LimitStaleness {
		set.Dispatch.MaxStaleness = toldWithin
	}
	return set, err
}

// The times of the tiny world. They are longer against the granularity than those of a
// real one, so that few due points lie within a request's life.
const worldSettings = `{"balancers":1,"me":0,"granularity":50000,"azs":["north"],"kinds":["m1"],
	"grades":[
	{"name":"post-reading","semantics":"at_most_once","slo":500000,"deadline":1000000,"worth":2},
	{"name":"district-batch","semantics":"deduplicated","dedup_scope":"cell","memory_span":1500000,
	 "slo":800000,"deadline":1400000,"worth":3}],
	"customers":[{"name":"sahel"}],
	"family_info":{"class_stretch":[0,0],"tells_start":true,"progress":%d},"discovery":%q,
	"limits":{"attempts_cap":%d,"cancel":%t,"may_duplicate":%t,
	 "connect_timeout":150000,"max_retry_after":2000000},
	"guarantees":{"cold":2000000,"cold_from":0.3,"fall":400000,"overload_factor":1,"ask_within":%d,
	 "drain_grace":500000}}`

const (
	deadlineOfPost  = 1000 * millisecond
	deadlineOfBatch = 1400 * millisecond
	window          = 1500 * millisecond
	drainGrace      = 500 * millisecond
	fall            = 400 * millisecond
	coldFor         = 2 * second
	mostAttempts    = 4
	askWithin       = 10 * second
	toldWithin      = 6 * second // a change counts as told then, heard or not
	movedWithin     = 4 * second // a new configuration's discovery counts then
	connectTimeout  = 150 * millisecond
	leaveGrace      = 100 * millisecond // an attempt may begin so long after its client left
	start           = 1000 * second
)

func (c Class) deadline() Micros {
	if c == Post {
		return deadlineOfPost
	}
	return deadlineOfBatch
}

// Resize is the world with another number of requests (of alternating classes), of workers
// (in the first one's rack) and of faults in all; 0, 0 and -1 leave them as they are.
func (c *Config) Resize(requests, workers, most int) (*Config, error) {
	n := *c
	n.Requests, n.Racks = slices.Clone(c.Requests), slices.Clone(c.Racks)
	switch {
	case requests < 0 || requests > mostRequests:
		return nil, fmt.Errorf("0 to %d requests", mostRequests)
	case workers < 0 || workers > mostWorkers:
		return nil, fmt.Errorf("0 to %d workers", mostWorkers)
	case most < -1 || most > 255:
		return nil, fmt.Errorf("0 to 255 faults")
	}
	for requests > 0 && len(n.Requests) != requests {
		if len(n.Requests) > requests {
			n.Requests = n.Requests[:requests]
			continue
		}
		n.Requests = append(n.Requests, 1-n.Requests[len(n.Requests)-1])
	}
	for workers > 0 && len(n.Racks) != workers {
		if len(n.Racks) > workers {
			n.Racks = n.Racks[:workers]
			continue
		}
		n.Racks = append(n.Racks, n.Racks[0])
	}
	if most >= 0 {
		n.MaxFaults = uint8(most)
	}
	return &n, nil
}

func (c *Config) prepare() error {
	if len(c.settings.Classes) > 0 {
		return nil
	}
	if len(c.Requests) == 0 || len(c.Requests) > mostRequests || len(c.Racks) == 0 ||
		len(c.Racks) > mostWorkers {
		return fmt.Errorf("world %q: 1 to %d requests and 1 to %d workers", c.Name, mostRequests, mostWorkers)
	}
	var err error
	c.settings, err = c.Rules.parse()
	return err
}

const (
	mostRequests = 8
	mostWorkers  = 8
)

type budget map[Fault]uint8

func world(name, about string, most uint8, requests []Class, racks []int, b budget) *Config {
	c := &Config{Name: name, About: about, MaxFaults: most, Requests: requests, Racks: racks}
	for f, n := range b {
		c.Faults[f] = n
	}
	return c
}

func (c *Config) under(r Rules) *Config {
	c.Rules = r
	return c
}

var worlds = func() []*Config {
	network := budget{FaultConnectionRefused: 2, FaultConnectionBroken: 2, FaultAtCapacity: 2, FaultServerError: 2, FaultRejected: 1}
	callbacks := budget{FaultDuplicateCallback: 2, FaultDroppedCallback: 1, FaultJobFailed: 1, FaultJobHandedBack: 2, FaultJobAborted: 1, FaultAtCapacity: 1}
	all := budget{}
	for f := range faults {
		all[f] = 1
	}
	list := []*Config{
		world("attempt", "one post-reading, two workers, the network and the workers at fault up to 3 times", 3,
			[]Class{Post}, []int{0, 0}, merge(network, callbacks, budget{FaultClientDisconnect: 1, FaultTimerJitter: 1})),
		world("keyed", "one district-batch, two workers in a rack and one outside, up to 2 faults", 2,
			[]Class{Batch}, []int{0, 0, 1}, merge(network, callbacks, budget{FaultClientDisconnect: 1, FaultProcessCrash: 1})),
		world("link", "one post-reading, one worker, answers overtake the writer's word", 3,
			[]Class{Post}, []int{0}, merge(network, budget{FaultClientDisconnect: 1, FaultTimerJitter: 1, FaultDuplicateID: 1, FaultDuplicateCallback: 1})),
		world("list", "one request, two workers, the list changes under it, up to 3 times", 3,
			[]Class{Batch}, []int{0, 0}, budget{FaultEndpointStatus: 3, FaultWatchClosed: 1, FaultReload: 1, FaultAtCapacity: 1, FaultProcessCrash: 1, FaultConnectionRefused: 1}),
		world("crash", "one request, processes die, machines fall silent, the module breaks down", 2,
			[]Class{Batch}, []int{0, 0}, budget{FaultProcessCrash: 2, FaultMachineUnreachable: 1, FaultModulePanic: 1, FaultShutdown: 1, FaultConnectionBroken: 1, FaultClientDisconnect: 1}),
		world("small", "one post-reading, two workers, any two faults of all kinds", 2,
			[]Class{Post}, []int{0, 0}, all),
		world("pair", "a post-reading and a district-batch, one worker, no fault (--faults 1: any one)", 0,
			[]Class{Post, Batch}, []int{0}, all),
	}
	list[slices.IndexFunc(list, func(c *Config) bool { return c.Name == "link" })].AnswerOvertakesWrite = true
	// What a planted fault needs to show itself, and little else.
	list = append(list,
		world("late", "one district-batch, its connection ends at any time", 2,
			[]Class{Batch}, []int{0, 0}, budget{FaultConnectionBroken: 2}),
		world("drains", "one district-batch, one worker comes and goes", 3,
			[]Class{Batch}, []int{0, 0}, budget{FaultEndpointStatus: 3, FaultAtCapacity: 1}),
		world("turned", "one district-batch, turned away again and again", 5,
			[]Class{Batch}, []int{0, 0}, budget{FaultAtCapacity: 5, FaultConnectionRefused: 2}),
		world("cold", "two requests, a worker starts again", 2,
			[]Class{Post, Batch}, []int{0}, budget{FaultProcessCrash: 1, FaultAtCapacity: 1}))
	// Those of other settings.
	list = append(list,
		world("forbidden", "one district-batch, cancelling is forbidden", 3,
			[]Class{Batch}, []int{0, 0}, budget{FaultClientDisconnect: 1, FaultConnectionBroken: 2, FaultAtCapacity: 1, FaultJobHandedBack: 1, FaultDroppedCallback: 1, FaultProcessCrash: 1,
				FaultTimerJitter: 1, FaultModulePanic: 1, FaultShutdown: 1}).under(Rules{CancelForbidden: true}),
		world("leaves", "one post-reading, its client leaves while nothing has left; cancelling is forbidden", 4,
			[]Class{Post}, []int{0}, budget{FaultClientDisconnect: 1, FaultTimerJitter: 2, FaultConnectionRefused: 1, FaultAtCapacity: 1, FaultJobHandedBack: 1,
				FaultWatchClosed: 1, FaultDuplicateID: 1}).
			under(Rules{CancelForbidden: true, EndpointsPushed: true, LimitStaleness: true}),
		world("pushed", "one district-batch, lists are pushed, the watch is lost, workers drain", 3,
			[]Class{Batch}, []int{0, 0}, budget{FaultWatchClosed: 2, FaultEndpointStatus: 2, FaultAtCapacity: 1, FaultConnectionBroken: 1, FaultTimerJitter: 1}).
			under(Rules{EndpointsPushed: true, LimitStaleness: true}),
		world("asked", "one post-reading, ask_within is 0.4 s, the watch is lost, workers drain", 3,
			[]Class{Post}, []int{0, 0}, budget{FaultWatchClosed: 2, FaultEndpointStatus: 2, FaultAtCapacity: 1, FaultConnectionBroken: 1, FaultTimerJitter: 1}).
			under(Rules{PollInterval: 400 * millisecond, LimitStaleness: true}),
		world("copies", "one district-batch, second copies are allowed, workers tell of progress", 3,
			[]Class{Batch}, []int{0, 0}, budget{FaultConnectionBroken: 2, FaultClientDisconnect: 1, FaultMachineUnreachable: 1, FaultJobHandedBack: 1, FaultDuplicateCallback: 1, FaultDroppedCallback: 1}).
			under(Rules{HedgingAllowed: true, ProgressInterval: 100 * millisecond}),
		world("two", "one district-batch, two attempts at most", 4,
			[]Class{Batch}, []int{0, 0}, budget{FaultAtCapacity: 4, FaultConnectionRefused: 2, FaultJobHandedBack: 2, FaultConnectionBroken: 1, FaultClientDisconnect: 1}).
			under(Rules{MaxAttempts: 2}))
	hole := world("hole", "one post-reading, one worker, and a DELETE may overtake its request: known to break",
		1, []Class{Post}, []int{0}, budget{FaultClientDisconnect: 1})
	hole.DeleteOvertakesRequest = true
	list = append(list, hole)
	return list
}()

func merge(budgets ...budget) budget {
	all := budget{}
	for _, b := range budgets {
		for f, n := range b {
			all[f] = max(all[f], n)
		}
	}
	return all
}

// Worlds are the worlds that are known by name.
func Worlds() []*Config { return slices.Clone(worlds) }

// largeUnder precedes the name of a world whose settings the large one has.
const largeUnder = "large-"

// WorldByName finds a world; large-NAME is the large one with the settings of another. The error names
// those that there are.
func WorldByName(name string) (*Config, error) {
	if of, is := strings.CutPrefix(name, largeUnder); is {
		c, err := WorldByName(of)
		if err != nil {
			return nil, err
		}
		large := LargeWorld().under(c.Rules)
		large.Name = name
		return large, nil
	}
	var names []string
	for _, c := range append(Worlds(), LargeWorld()) {
		if c.Name == name {
			copied := *c
			return &copied, nil
		}
		names = append(names, c.Name)
	}
	return nil, fmt.Errorf("unknown world %q: there are %s", name, strings.Join(names, ", "))
}
