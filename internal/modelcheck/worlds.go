package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Budgets that several worlds share.
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

// everyFault is a budget of one of each.
func everyFault() Budget {
	var b Budget
	for f := range b {
		b[f] = 1
	}
	return b
}

// generalWorlds have the usual settings and many kinds of faults.
var generalWorlds = []*Config{
	{
		Name:      "attempt",
		About:     "one post-reading, two workers, the network and the workers at fault up to 3 times",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    networkFaults.max(callbackFaults, Budget{FaultClientDisconnect: 1, FaultTimerJitter: 1}),
	},
	{
		Name:      "keyed",
		About:     "one district-batch, two workers in a rack and one outside, up to 2 faults",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0, 1},
		MaxFaults: 2,
		Faults:    networkFaults.max(callbackFaults, Budget{FaultClientDisconnect: 1, FaultProcessCrash: 1}),
	},
	{
		Name:      "link",
		About:     "one post-reading, one worker, answers overtake the notice that the request is written",
		Requests:  []Class{Post},
		Racks:     []int{0},
		MaxFaults: 3,
		Faults: networkFaults.max(Budget{FaultClientDisconnect: 1, FaultTimerJitter: 1, FaultDuplicateID: 1,
			FaultDuplicateCallback: 1}),
		AnswerOvertakesWrite: true,
	},
	{
		Name:      "list",
		About:     "one request, two workers, the list changes under it, up to 3 times",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultEndpointStatus: 3, FaultWatchClosed: 1, FaultReload: 1, FaultAtCapacity: 1,
			FaultProcessCrash: 1, FaultConnectionRefused: 1},
	},
	{
		Name:      "crash",
		About:     "one request, processes crash, machines are cut off, the module panics",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults: Budget{FaultProcessCrash: 2, FaultMachineUnreachable: 1, FaultModulePanic: 1, FaultShutdown: 1,
			FaultConnectionBroken: 1, FaultClientDisconnect: 1},
	},
	{
		Name:      "small",
		About:     "one post-reading, two workers, any two faults of all kinds",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults:    everyFault(),
	},
	{
		Name:      "pair",
		About:     "a post-reading and a district-batch, one worker, no fault (--faults 1: any one)",
		Requests:  []Class{Post, Batch},
		Racks:     []int{0},
		MaxFaults: 0,
		Faults:    everyFault(),
	},
}

// mutantWorlds have what some mutant needs to show itself, and little else.
var mutantWorlds = []*Config{
	{
		Name:      "late",
		About:     "one district-batch, its connection ends at any time",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 2,
		Faults:    Budget{FaultConnectionBroken: 2},
	},
	{
		Name:      "reused",
		About:     "one district-batch, two workers in a rack and one outside, its id is submitted again",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0, 1},
		MaxFaults: 3,
		Faults: Budget{FaultDuplicateID: 1, FaultRejected: 1, FaultJobAborted: 1, FaultServerError: 1,
			FaultAtCapacity: 1},
	},
	{
		Name:      "drains",
		About:     "one district-batch, one worker comes and goes",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    Budget{FaultEndpointStatus: 3, FaultAtCapacity: 1},
	},
	{
		Name:      "turned",
		About:     "one district-batch, turned away again and again",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 5,
		Faults:    Budget{FaultAtCapacity: 5, FaultConnectionRefused: 2},
	},
	{
		Name:      "cold",
		About:     "two requests, a worker restarts",
		Requests:  []Class{Post, Batch},
		Racks:     []int{0},
		MaxFaults: 2,
		Faults:    Budget{FaultProcessCrash: 1, FaultAtCapacity: 1},
	},
}

// settingsWorlds have other settings than the rest.
var settingsWorlds = []*Config{
	{
		Name:      "forbidden",
		About:     "one district-batch, cancelling is forbidden",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultClientDisconnect: 1, FaultConnectionBroken: 2, FaultAtCapacity: 1,
			FaultJobHandedBack: 1, FaultDroppedCallback: 1, FaultProcessCrash: 1, FaultTimerJitter: 1,
			FaultModulePanic: 1, FaultShutdown: 1},
		Rules: Rules{CancelForbidden: true},
	},
	{
		Name:      "leaves",
		About:     "one post-reading, its client leaves before it is sent; cancelling is forbidden",
		Requests:  []Class{Post},
		Racks:     []int{0},
		MaxFaults: 4,
		Faults: Budget{FaultClientDisconnect: 1, FaultTimerJitter: 2, FaultConnectionRefused: 1,
			FaultAtCapacity: 1, FaultJobHandedBack: 1, FaultWatchClosed: 1, FaultDuplicateID: 1},
		Rules: Rules{CancelForbidden: true, EndpointsPushed: true, LimitStaleness: true},
	},
	{
		Name:      "pushed",
		About:     "one district-batch, lists are pushed, the watch closes, workers drain",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    watchFaults,
		Rules:     Rules{EndpointsPushed: true, LimitStaleness: true},
	},
	{
		Name:      "asked",
		About:     "one post-reading, ask_within is 0.4 s, the watch closes, workers drain",
		Requests:  []Class{Post},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults:    watchFaults,
		Rules:     Rules{PollInterval: 400 * millisecond, LimitStaleness: true},
	},
	{
		Name:      "copies",
		About:     "one district-batch, hedging is allowed, workers report progress",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 3,
		Faults: Budget{FaultConnectionBroken: 2, FaultClientDisconnect: 1, FaultMachineUnreachable: 1,
			FaultJobHandedBack: 1, FaultDuplicateCallback: 1, FaultDroppedCallback: 1},
		Rules: Rules{HedgingAllowed: true, ProgressInterval: 100 * millisecond},
	},
	{
		Name:      "two",
		About:     "one district-batch, two attempts at most",
		Requests:  []Class{Batch},
		Racks:     []int{0, 0},
		MaxFaults: 4,
		Faults: Budget{FaultAtCapacity: 4, FaultConnectionRefused: 2, FaultJobHandedBack: 2,
			FaultConnectionBroken: 1, FaultClientDisconnect: 1},
		Rules: Rules{MaxAttempts: 2},
	},
}

// holeWorld is known to violate a property.
var holeWorld = &Config{
	Name:                   "hole",
	About:                  "one post-reading, one worker; a DELETE may overtake its request: known to break",
	Requests:               []Class{Post},
	Racks:                  []int{0},
	MaxFaults:              1,
	Faults:                 Budget{FaultClientDisconnect: 1},
	DeleteOvertakesRequest: true,
}

// LargeWorld returns a world that is too large to be explored to its end: it is walked at random.
func LargeWorld() *Config {
	c := &Config{
		Name:                 "large",
		About:                "six requests, four workers, all faults many times; walked at random, not to its end",
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

// LargeIDsWorld returns a world in which each id is submitted again and again, long after its answer, too.
// It is walked at random.
func LargeIDsWorld() *Config {
	return &Config{
		Name:          "large-ids",
		About:         "three district-batches, their ids submitted again at any time; walked at random",
		Requests:      []Class{Batch, Batch, Batch},
		Racks:         []int{0, 0, 1, 1},
		MaxFaults:     40,
		RenewRequests: true,
		Faults: Budget{FaultDuplicateID: maxRequests - 3, FaultRejected: 5, FaultJobAborted: 5, FaultAtCapacity: 10,
			FaultServerError: 5, FaultConnectionBroken: 5, FaultTimerJitter: 10, FaultEndpointStatus: 10,
			FaultClientDisconnect: 2},
	}
}

// WalkedWorlds lists the worlds that are walked at random: they have no end.
func WalkedWorlds() []*Config { return []*Config{LargeWorld(), LargeIDsWorld()} }

// Worlds lists the worlds that can be explored to their end.
func Worlds() []*Config {
	return slices.Concat(generalWorlds, mutantWorlds, settingsWorlds, []*Config{holeWorld})
}

// largePrefix precedes the name of a world whose settings the large one has.
const largePrefix = "large-"

// WorldByName returns a copy of a world; large-NAME is the large one with the settings of another. The error
// names those that there are.
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
		large.Name, large.Rules = name, c.Rules
		return large, nil
	}
	return nil, fmt.Errorf("unknown world %q: there are %s", name, strings.Join(names, ", "))
}
