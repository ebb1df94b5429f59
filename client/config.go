package client

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaford/client/internal/plan"
)

// Effect says whether jobs of a class may be repeated after an attempt in which they may have run.
type Effect string

// The effects that a class may have, from the strictest to the least strict: Once never allows a job that may
// have run to be repeated, and Safe always allows a repeat.
const (
	// Once marks jobs that must never run twice. The client never repeats an attempt that may have run.
	Once Effect = "once"
	// Rack marks jobs whose duplicates are dropped only if they reach the rack that ran the first copy. A client
	// cannot choose the rack of a retry, so it never repeats an attempt that may have run. Only the scheduler
	// repeats such attempts.
	Rack Effect = "rack"
	// Anywhere marks jobs whose duplicates are dropped in every rack during the class's deduplication window.
	Anywhere Effect = "anywhere"
	// Safe marks jobs that may run any number of times.
	Safe Effect = "safe"
)

// effects maps each effect that a class may have to the value that package plan uses for that effect.
var effects = map[Effect]plan.Effect{Once: plan.Once, Rack: plan.Rack, Anywhere: plan.Anywhere,
	Safe: plan.Safe}

// Class describes a class of jobs. The values must match the schedulers' settings for that class.
type Class struct {
	Deadline time.Duration // maximum time for a job with all its attempts; must be positive
	Effect   Effect
	// Window is the deduplication window of a class with the effect Anywhere: the time during which duplicates
	// of a job are dropped. The window starts with the first attempt in which the job may have run.
	Window      time.Duration
	MaxAttempts int // maximum number of attempts for one job, including the first attempt; 0 means 3
}

// Config is a client's configuration. Only Schedulers and Classes must be set.
type Config struct {
	Schedulers []string         // address of each scheduler, as host:port
	Classes    map[string]Class // settings of each class, by class name
	Tenant     string           // tenant of jobs that do not name a tenant
	// RetryBudget is the average number of retries that the client allows for each new job: with 0.1, retries
	// add at most a tenth to the load. When the budget is used up, a job that would be retried ends with the
	// result of its last attempt. 0 means 0.1, and a negative number means no retries.
	RetryBudget float64
	// MaxConnections bounds the number of connections to each scheduler. 0 means 64.
	MaxConnections int
	// ConnectRate bounds the number of new connections per second to all schedulers together. A fifth of that
	// number may be opened in one burst. 0 means 50.
	ConnectRate float64
	Log         *slog.Logger // receives a line for each failed attempt; nil disables logging
	Observer    Observer     // receives the client's events, for example for metrics; nil discards the events
	Seed        uint64       // seed of the random choices; 0 means a seed from the current time
}

const (
	defaultMaxAttempts    = 3
	defaultRetryBudget    = 0.1
	defaultMaxConnections = 64
	defaultConnectRate    = 50

	// maxRetryTokens is the maximum number of unused retries that the retry budget saves for later jobs.
	maxRetryTokens = 10
	// baseBackoff is the upper end of the random delay before the first retry of a job. The upper end doubles
	// with each further retry, up to maxBackoff.
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = time.Second
	// ejectAfterFailures is the number of consecutive attempts without a response after which a scheduler is
	// ejected. The first ejection lasts about baseEjection, and each further ejection without a response in
	// between lasts twice as long, up to maxEjection.
	ejectAfterFailures = 3
	baseEjection       = time.Second
	maxEjection        = 30 * time.Second
)

// withDefaults returns a copy of the configuration in which defaults replace zero values.
func (cfg Config) withDefaults() Config {
	if cfg.RetryBudget == 0 {
		cfg.RetryBudget = defaultRetryBudget
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	if cfg.ConnectRate == 0 {
		cfg.ConnectRate = defaultConnectRate
	}
	if cfg.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	return cfg
}

// planConfig returns the configuration for package plan, and the number of each class in that configuration
// by the class's name. The error names the invalid field by its path in a configuration file.
func (cfg Config) planConfig() (plan.Config, map[string]int, error) {
	if cfg.MaxConnections < 0 || cfg.ConnectRate < 0 {
		return plan.Config{}, nil, errors.New("connections and reconnects_per_s must not be negative")
	}
	planCfg := plan.Config{
		Schedulers:         len(cfg.Schedulers),
		RetryBudget:        cfg.RetryBudget,
		MaxTokens:          maxRetryTokens,
		Backoff:            baseBackoff,
		MaxBackoff:         maxBackoff,
		EjectAfterFailures: ejectAfterFailures,
		BaseEjection:       baseEjection,
		MaxEjection:        maxEjection,
	}
	if cfg.RetryBudget < 0 {
		planCfg.RetryBudget, planCfg.MaxTokens = 0, 0
	}
	numbers := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Classes)) {
		class, err := planClass(cfg.Classes[name])
		if err != nil {
			return plan.Config{}, nil, fmt.Errorf("classes.%s.%w", name, err)
		}
		numbers[name] = len(planCfg.Classes)
		planCfg.Classes = append(planCfg.Classes, class)
	}
	return planCfg, numbers, nil
}

// planClass validates a class and converts it to the form that package plan uses.
func planClass(class Class) (plan.Class, error) {
	effect, known := effects[class.Effect]
	switch {
	case !known:
		return plan.Class{}, fmt.Errorf("effect: unknown effect %q", class.Effect)
	case class.Deadline <= 0:
		return plan.Class{}, errors.New("deadline: must be positive")
	case class.MaxAttempts < 0:
		return plan.Class{}, errors.New("tries: must not be negative")
	case class.Effect == Anywhere && class.Window <= 0:
		return plan.Class{}, errors.New("window: must be positive for effect anywhere")
	case class.MaxAttempts == 0:
		class.MaxAttempts = defaultMaxAttempts
	}
	return plan.Class{Effect: effect, Window: class.Window, MaxAttempts: class.MaxAttempts}, nil
}
