package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Fault budgets that several worlds (simulated configurations) use.
var (
	networkFaults = Budget{
		FaultConnectionRefused: 2,
		FaultConnectionBroken:  2,
		FaultAtCapacity:        2,
		FaultServerError:       2,
		FaultRejected:          1,
	}
	callbackFaults = Budget{
		FaultDuplicateCallback: 2,
		FaultDroppedCallback:   1,
		FaultJobFailed:         1,
		FaultJobHandedBack:     2,
		FaultJobAborted:        1,
		FaultAtCapacity:        1,
	}
	watchFaults = Budget{
		FaultWatchClosed:      2,
		FaultEndpointStatus:   2,
		FaultAtCapacity:       1,
		FaultConnectionBroken: 1,
		FaultTimerJitter:      1,
	}
)

// everyFault returns a budget of one fault of each kind.
func everyFault() Budget {
	var b Budget
	for f := range b {
		b[f] = 1
	}
	return b
}

// generalWorlds are worlds (simulated configurations) with the default settings and many kinds of faults.
var generalWorlds = []*Config{
	{
		Name:      "attempt",
		About:     "one post-reading, two workers, up to 3 faults of the network and the workers",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    networkFaults.max(callbackFaults, Budget{FaultClientDisconnect: 1, FaultTimerJitter: 1}),
	},
	{
		Name:      "keyed",
		About:     "one district-batch, two workers in one rack and one in another, up to 2 faults",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0, 1},
		MaxFaults: 2,
		Faults:    networkFaults.max(callbackFaults, Budget{FaultClientDisconnect: 1, FaultProcessCrash: 1}),
	},
	{
		Name:      "link",
		About:     "one post-reading, one worker; answers may arrive before the notice of the write",
		Requests:  []Class{Post},
		Racks:     []int{0},
		MaxFaults: 3,
		Faults: networkFaults.max(Budget{FaultClientDisconnect: 1, FaultTimerJitter: 1, FaultDuplicateID: 1,
			FaultDuplicateCallback: 1}),
		AnswerOvertakesWrite: true,
	},
	{
		Name:      "list",
		About:     "one district-batch, two workers, up to 3 faults, mostly changes of the worker list",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultEndpointStatus: 3, FaultWatchClosed: 1, FaultReload: 1, FaultAtCapacity: 1,
			FaultProcessCrash: 1, FaultConnectionRefused: 1},
	},
	{
		Name:      "crash",
		About:     "one district-batch; process crashes, unreachable machines, panics of the decision module",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults: Budget{FaultProcessCrash: 2, FaultMachineUnreachable: 1, FaultModulePanic: 1, FaultShutdown: 1,
			FaultConnectionBroken: 1, FaultClientDisconnect: 1},
	},
	{
		Name:      "small",
		About:     "one post-reading, two workers, any two faults",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults:    everyFault(),
	},
	{
		Name:      "pair",
		About:     "a post-reading and a district-batch, one worker, no fault (--faults 1: any one fault)",
		Requests:  []Class{Post, Batch},
		Racks:     []int{0},
		MaxFaults: 0,
		Faults:    everyFault(),
	},
}

// mutantWorlds are small worlds (simulated configurations), each with the requests, workers and faults that
// some mutant needs to have an effect.
var mutantWorlds = []*Config{
	{
		Name:      "late",
		About:     "one district-batch; connections break at any time, also after the 202",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults:    Budget{FaultConnectionBroken: 2},
	},
	{
		Name:      "reused",
		About:     "one district-batch, two workers in one rack and one in another; its id is submitted again",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0, 1},
		MaxFaults: 3,
		Faults: Budget{FaultDuplicateID: 1, FaultRejected: 1, FaultJobAborted: 1, FaultServerError: 1,
			FaultAtCapacity: 1},
	},
	{
		Name:      "drains",
		About:     "one district-batch, two workers that drain, are removed and become ready again",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    Budget{FaultEndpointStatus: 3, FaultAtCapacity: 1},
	},
	{
		Name:      "turned",
		About:     "one district-batch; its attempts are rejected by workers at capacity up to 5 times",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 5,
		Faults:    Budget{FaultAtCapacity: 5, FaultConnectionRefused: 2},
	},
	{
		Name:      "cold",
		About:     "a post-reading and a district-batch, one worker that may restart and start slowly",
		Requests:  []Class{Post, Batch},
		Racks:     []int{0},
		MaxFaults: 2,
		Faults:    Budget{FaultProcessCrash: 1, FaultAtCapacity: 1},
	},
}

// settingsWorlds are worlds (simulated configurations) that override default settings of the scheduler.
var settingsWorlds = []*Config{
	{
		Name:      "forbidden",
		About:     "one district-batch; cancelling is forbidden",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultClientDisconnect: 1, FaultConnectionBroken: 2, FaultAtCapacity: 1,
			FaultJobHandedBack: 1, FaultDroppedCallback: 1, FaultProcessCrash: 1, FaultTimerJitter: 1,
			FaultModulePanic: 1, FaultShutdown: 1},
		Overrides: Overrides{CancelForbidden: true},
	},
	{
		Name:      "leaves",
		About:     "one post-reading; its client disconnects before the send; cancelling is forbidden",
		Requests:  []Class{Post},
		Racks:     []int{0},
		MaxFaults: 4,
		Faults: Budget{FaultClientDisconnect: 1, FaultTimerJitter: 2, FaultConnectionRefused: 1,
			FaultAtCapacity: 1, FaultJobHandedBack: 1, FaultWatchClosed: 1, FaultDuplicateID: 1},
		Overrides: Overrides{CancelForbidden: true, EndpointsPushed: true, LimitStaleness: true},
	},
	{
		Name:      "pushed",
		About:     "one district-batch; worker lists are pushed, the watch closes, workers drain",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    watchFaults,
		Overrides: Overrides{EndpointsPushed: true, LimitStaleness: true},
	},
	{
		Name:      "asked",
		About:     "one post-reading; ask_within is 0.4 s, the watch closes, workers drain",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    watchFaults,
		Overrides: Overrides{PollInterval: 400 * millisecond, LimitStaleness: true},
	},
	{
		Name:      "copies",
		About:     "one district-batch; hedging is allowed, workers report progress",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultConnectionBroken: 2, FaultClientDisconnect: 1, FaultMachineUnreachable: 1,
			FaultJobHandedBack: 1, FaultDuplicateCallback: 1, FaultDroppedCallback: 1},
		Overrides: Overrides{HedgingAllowed: true, ProgressInterval: 100 * millisecond},
	},
	{
		Name:      "two",
		About:     "one district-batch; at most two attempts",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 4,
		Faults: Budget{FaultAtCapacity: 4, FaultConnectionRefused: 2, FaultJobHandedBack: 2,
			FaultConnectionBroken: 1, FaultClientDisconnect: 1},
		Overrides: Overrides{MaxAttempts: 2},
	},
}

// knownViolationWorld violates OrphansCancelled: the worker receives the DELETE before the request that the
// DELETE cancels, and then accepts that request. No scheduler can prevent this order.
var knownViolationWorld = &Config{
	Name:                   "hole",
	About:                  "one post-reading, one worker; a DELETE may overtake its request, a known violation",
	Requests:               []Class{Post},
	Racks:                  []int{0},
	MaxFaults:              1,
	Faults:                 Budget{FaultClientDisconnect: 1},
	DeleteOvertakesRequest: true,
}

// LargeWorld returns a world (simulated configuration) with too many states for a complete search. RandomWalk
// covers parts of it.
func LargeWorld() *Config {
	c := &Config{
		Name:                 "large",
		About:                "six requests, four workers, up to 250 faults; for random walks only",
		Requests:             []Class{Post, Batch, Batch, Post, Batch, Post},
		Racks:                []int{0, 0, 1, 1},
		MaxFaults:            250,
		AnswerOvertakesWrite: true,
		RenewRequests:        true,
	}
	for f := range c.Faults {
		c.Faults[f] = 200
	}
	c.Faults[FaultDuplicateID], c.Faults[FaultShutdown], c.Faults[FaultModulePanic] = 2, 1, 5
	return c
}

// LargeIDsWorld returns a world (simulated configuration) for random walks in which the client submits used
// ids again, also after the deduplication window of the id has ended.
func LargeIDsWorld() *Config {
	return &Config{
		Name:          "large-ids",
		About:         "three district-batches whose ids are submitted again at any time; for random walks only",
		Requests:      []Class{Batch, Batch, Batch},
		Racks:         []int{0, 0, 1, 1},
		MaxFaults:     40,
		RenewRequests: true,
		Faults: Budget{FaultDuplicateID: maxRequests - 3, FaultRejected: 5, FaultJobAborted: 5, FaultAtCapacity: 10,
			FaultServerError: 5, FaultConnectionBroken: 5, FaultTimerJitter: 10, FaultEndpointStatus: 10,
			FaultClientDisconnect: 2},
	}
}

// WalkedWorlds returns the worlds (simulated configurations) that are too large for Search and meant for
// RandomWalk.
func WalkedWorlds() []*Config { return []*Config{LargeWorld(), LargeIDsWorld()} }

// Worlds returns the worlds (simulated configurations) that Search can explore completely.
func Worlds() []*Config {
	return slices.Concat(generalWorlds, mutantWorlds, settingsWorlds, []*Config{knownViolationWorld})
}

// largePrefix and the name of a world (simulated configuration) make up the name of the large world with the
// settings of that world.
const largePrefix = "large-"

// WorldByName returns a copy of the world (simulated configuration) with the given name. The name large-NAME
// selects the large world with the settings of the world NAME. The error for an unknown name lists the known
// names.
func WorldByName(name string) (*Config, error) {
	var names []string
	for _, c := range slices.Concat(Worlds(), WalkedWorlds()) {
		if c.Name == name {
			copied := *c
			return &copied, nil
		}
		names = append(names, c.Name)
	}
	if base, ok := strings.CutPrefix(name, largePrefix); ok {
		c, err := WorldByName(base)
		if err != nil {
			return nil, err
		}
		large := LargeWorld()
		large.Name, large.Overrides = name, c.Overrides
		return large, nil
	}
	return nil, fmt.Errorf("unknown world %q: there are %s", name, strings.Join(names, ", "))
}
