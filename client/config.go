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

// Effect says whether a class of jobs may be repeated once an attempt may have run.
type Effect string

// The effects of a class.
const (
	// Once marks jobs that must never run twice. An attempt that may have run is never repeated.
	Once Effect = "once"
	// Rack marks jobs whose duplicates are dropped within one rack. A client cannot choose the rack that a
	// retry goes to, so it repeats no attempt that may have run; the scheduler does.
	Rack Effect = "rack"
	// Anywhere marks jobs whose duplicates are dropped everywhere, within the class's window.
	Anywhere Effect = "anywhere"
	// Safe marks jobs that may be repeated at will.
	Safe Effect = "safe"
)

var effects = map[Effect]plan.Effect{Once: plan.Once, Rack: plan.Rack, Anywhere: plan.Anywhere,
	Safe: plan.Safe}

// Class describes a class of jobs. It must agree with the schedulers' settings of that class.
type Class struct {
	Deadline    time.Duration // for a job with all its attempts; it must be positive
	Effect      Effect
	Window      time.Duration // for Anywhere: how long duplicates are dropped, from the first attempt on
	MaxAttempts int           // for one job, the first attempt included; 0: 3
}

// Config is a client's configuration. Only Schedulers and Classes must be set.
type Config struct {
	Schedulers []string         // host:port of each
	Classes    map[string]Class // by name
	Tenant     string           // of jobs that name none
	// RetryBudget is how many retries each fresh job allows on average: 0.1 lets retries add a tenth to the
	// load. When it is used up, a refusal is returned at once. 0: 0.1; negative: no retries.
	RetryBudget float64
	// MaxConnections bounds the connections to each scheduler; 0: 64.
	MaxConnections int
	// ConnectRate bounds the new connections per second, to all schedulers together. A fifth of that may be
	// opened in one burst. 0: 50.
	ConnectRate float64
	Log         *slog.Logger // nil: nothing is logged
	Observer    Observer     // receives events for metrics; nil: none
	Seed        uint64       // of the random choices; 0: a new one
}

const (
	defaultMaxAttempts    = 3
	defaultRetryBudget    = 0.1
	defaultMaxConnections = 64
	defaultConnectRate    = 50

	// maxRetryTokens is how many unused retries the budget saves up.
	maxRetryTokens = 10
	// baseBackoff is the range of the first wait after a refusal without Retry-After. It doubles up to
	// maxBackoff.
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = time.Second
	// ejectAfterFailures failed attempts in a row eject a scheduler, for about baseEjection at first, which doubles
	// up to maxEjection.
	ejectAfterFailures = 3
	baseEjection       = time.Second
	maxEjection        = 30 * time.Second
)

// withDefaults replaces the zero values that stand for defaults.
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

// planConfig returns the configuration of the plan, and the number that each class has there. The error
// names the field that is invalid, by its path in a configuration file.
func (cfg Config) planConfig() (plan.Config, map[string]int, error) {
	if cfg.MaxConnections < 0 || cfg.ConnectRate < 0 {
		return plan.Config{}, nil, errors.New("connections and reconnects must not be negative")
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

func planClass(class Class) (plan.Class, error) {
	effect, known := effects[class.Effect]
	switch {
	case !known:
		return plan.Class{}, fmt.Errorf("effect: unknown effect %q", class.Effect)
	case class.Deadline <= 0:
		return plan.Class{}, errors.New("deadline: it must be positive")
	case class.MaxAttempts < 0:
		return plan.Class{}, errors.New("tries: it must not be negative")
	case class.Effect == Anywhere && class.Window <= 0:
		return plan.Class{}, errors.New("window: it must be positive")
	case class.MaxAttempts == 0:
		class.MaxAttempts = defaultMaxAttempts
	}
	return plan.Class{Effect: effect, Window: class.Window, MaxAttempts: class.MaxAttempts}, nil
}
