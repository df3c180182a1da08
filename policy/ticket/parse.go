package ticket

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"unicode/utf8"

	"github.com/goccy/go-yaml"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Defaults and bounds of ticket fields.
const (
	DefaultShare       = 1
	DefaultMaxInFlight = 256
	DefaultDeadline    = 30 * clock.Second
	MaxTicketBytes     = 1 << 20
	maxDeadline        = clock.Hour
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	refPattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}@[a-z0-9][a-z0-9.-]{0,30}$`)
)

// Parse reads a YAML ticket strictly and validates it; errors name line and key.
func Parse(data []byte) (*Ticket, error) {
	if len(data) > MaxTicketBytes {
		return nil, fault.New("parse", KindInvalid, "ticket has %d bytes, limit is %d", len(data), MaxTicketBytes)
	}
	if !utf8.Valid(data) {
		return nil, fault.New("parse", KindSyntax, "ticket is not valid UTF-8")
	}
	var t Ticket
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(&t); err != nil {
		return nil, fault.New("parse", KindSyntax, "%s", yaml.FormatError(err, false, true))
	}
	t.fillDefaults()
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return &t, nil
}

func (t *Ticket) fillDefaults() {
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		setDefault(&w.State, LifecycleActive)
		setDefault(&w.Priority, PriorityNormal)
		setDefault(&w.Share, DefaultShare)
		setDefault(&w.MaxInFlight, DefaultMaxInFlight)
		setDefault(&w.Deadline, DefaultDeadline)
	}
	for i := range t.Services {
		s := &t.Services[i]
		setDefault(&s.State, LifecycleActive)
		setDefault(&s.Deadline, DefaultDeadline)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports the first impossible value as a KindInvalid error.
// It depends on the ticket alone, so every instance reaches the same verdict.
func (t *Ticket) Validate() error {
	c := checker{seen: map[string]bool{}}
	c.want(t.Number >= 1, "ticket: number must be 1 or more, is %d", t.Number)
	c.want(t.Author != "", "author: must not be empty")
	for i := range t.Workspaces {
		c.workspace(&t.Workspaces[i])
	}
	for i := range t.Versions {
		c.version(&t.Versions[i])
	}
	for i := range t.Rollouts {
		c.rollout(&t.Rollouts[i])
	}
	for i := range t.Zones {
		c.zone(&t.Zones[i])
	}
	for i := range t.Services {
		c.service(&t.Services[i])
	}
	c.want(len(c.seen) > 0, "ticket: touches no object")
	if c.err != nil {
		return c.err
	}
	return nil
}

// checker keeps the first violation found.
type checker struct {
	seen map[string]bool
	err  *Error
}

func (c *checker) want(ok bool, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = fault.New("validate", KindInvalid, format, args...)
	}
}

func (c *checker) object(kind ObjectKind, name string, pattern *regexp.Regexp) string {
	at := fmt.Sprintf("%s %q", kind, name)
	c.want(pattern.MatchString(name), "%s: name must match %s", at, pattern)
	c.want(!c.seen[at], "%s: stands twice in one ticket", at)
	c.seen[at] = true
	return at
}

func (c *checker) share(at, key string, value float64) {
	ok := !math.IsNaN(value) && value >= 0 && value <= 1
	c.want(ok, "%s: %s must be between 0 and 1, is %v", at, key, value)
}

func (c *checker) deadline(at string, value clock.Millis) {
	ok := value > 0 && value <= maxDeadline
	c.want(ok, "%s: deadline-ms must be between 1 and %d, is %d", at, maxDeadline, value)
}

func (c *checker) ref(at string, ref VersionRef) {
	c.want(refPattern.MatchString(string(ref)), "%s: %q is not model@version", at, ref)
}

func (c *checker) workspace(w *Workspace) {
	at := c.object(ObjectWorkspace, string(w.Name), namePattern)
	c.want(w.State == LifecycleActive || w.State == LifecycleRemoved, "%s: state %q is not active or removed", at, w.State)
	c.share(at, "quality-target", w.QualityTarget)
	c.deadline(at, w.Deadline)
	c.want(w.Share >= 1, "%s: share must be 1 or more", at)
	c.want(w.MaxInFlight >= 1, "%s: max-in-flight must be 1 or more", at)
	switch w.Priority {
	case PriorityUrgent, PriorityNormal, PriorityDeferrable:
	default:
		c.want(false, "%s: priority %q is not urgent, normal or deferrable", at, w.Priority)
	}
	for _, ref := range w.Allowed {
		c.ref(at, ref)
	}
	for _, class := range w.Classes {
		c.want(namePattern.MatchString(string(class.Name)), "%s: class name %q must match %s", at, class.Name, namePattern)
		for _, ref := range class.Cheaper {
			c.want(w.State == LifecycleRemoved || w.Allows(ref), "%s: class %q uses %q, which is not in allowed", at, class.Name, ref)
		}
	}
}

func (c *checker) version(v *ModelVersion) {
	at := c.object(ObjectVersion, string(v.Ref), refPattern)
	c.want(v.State == VersionActive || v.State == VersionWithdrawn, "%s: state %q is not active or withdrawn", at, v.State)
	c.want(v.Cost >= 0, "%s: cost-micros must not be negative", at)
	c.share(at, "quality", v.Quality)
}

func (c *checker) rollout(r *Rollout) {
	at := c.object(ObjectRollout, string(r.Name), namePattern)
	c.ref(at, r.From)
	c.ref(at, r.To)
	c.want(r.From != r.To, "%s: from and to are the same", at)
	c.want(r.From.Model() == r.To.Model(), "%s: from and to are different models", at)
	c.want(r.Percent >= 0 && r.Percent <= 100, "%s: percent must be between 0 and 100, is %d", at, r.Percent)
	switch r.State {
	case RolloutRunning, RolloutStopped, RolloutDone:
	default:
		c.want(false, "%s: state %q is not running, stopped or done", at, r.State)
	}
}

func (c *checker) zone(z *Zone) {
	at := c.object(ObjectZone, string(z.Name), namePattern)
	c.want(z.State == ZoneInService || z.State == ZoneOutOfService, "%s: state %q is not in or out", at, z.State)
}

func (c *checker) service(s *Service) {
	at := c.object(ObjectService, string(s.Name), namePattern)
	c.want(s.State == LifecycleActive || s.State == LifecycleRemoved, "%s: state %q is not active or removed", at, s.State)
	c.want(s.Cost >= 0, "%s: cost-micros must not be negative", at)
	c.deadline(at, s.Deadline)
	for _, call := range s.Calls {
		c.want(namePattern.MatchString(call.Name), "%s: call name %q must match %s", at, call.Name, namePattern)
	}
}
