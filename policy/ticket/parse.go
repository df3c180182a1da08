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

// Defaults and limits of ticket fields.
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

// Parse decodes a YAML ticket, rejecting unknown fields, fills in defaults and
// validates it. Syntax errors give the line and the key.
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
	t.setDefaults()
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return &t, nil
}

func (t *Ticket) setDefaults() {
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

// Validate returns the first invalid value as a KindInvalid error. It depends
// only on the ticket, so every instance reaches the same result.
func (t *Ticket) Validate() error {
	c := validator{seen: map[string]bool{}}
	c.require(t.Number >= 1, "ticket: number must be 1 or more, is %d", t.Number)
	c.require(t.Author != "", "author: must not be empty")
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
	c.require(len(c.seen) > 0, "ticket: contains no object")
	if c.err != nil {
		return c.err
	}
	return nil
}

// validator keeps the first violation that it finds.
type validator struct {
	seen map[string]bool
	err  *Error
}

// require records a violation with the formatted message if ok is false.
func (c *validator) require(ok bool, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = fault.New("validate", KindInvalid, format, args...)
	}
}

// object checks an object's name and that it appears only once, and returns the
// label that starts the messages about it.
func (c *validator) object(kind ObjectKind, name string, pattern *regexp.Regexp) string {
	label := fmt.Sprintf("%s %q", kind, name)
	c.require(pattern.MatchString(name), "%s: name must match %s", label, pattern)
	c.require(!c.seen[label], "%s: appears twice in one ticket", label)
	c.seen[label] = true
	return label
}

func (c *validator) share(label, key string, value float64) {
	ok := !math.IsNaN(value) && value >= 0 && value <= 1
	c.require(ok, "%s: %s must be between 0 and 1, is %v", label, key, value)
}

func (c *validator) deadline(label string, value clock.Millis) {
	ok := value > 0 && value <= maxDeadline
	c.require(ok, "%s: deadline-ms must be between 1 and %d, is %d", label, maxDeadline, value)
}

func (c *validator) ref(label string, ref VersionRef) {
	c.require(refPattern.MatchString(string(ref)), "%s: %q is not model@version", label, ref)
}

func (c *validator) workspace(w *Workspace) {
	label := c.object(ObjectWorkspace, string(w.Name), namePattern)
	c.require(w.State == LifecycleActive || w.State == LifecycleRemoved, "%s: state %q is not active or removed", label, w.State)
	c.share(label, "quality-target", w.QualityTarget)
	c.deadline(label, w.Deadline)
	c.require(w.Share >= 1, "%s: share must be 1 or more", label)
	c.require(w.MaxInFlight >= 1, "%s: max-in-flight must be 1 or more", label)
	switch w.Priority {
	case PriorityUrgent, PriorityNormal, PriorityDeferrable:
	default:
		c.require(false, "%s: priority %q is not urgent, normal or deferrable", label, w.Priority)
	}
	for _, ref := range w.Allowed {
		c.ref(label, ref)
	}
	for _, class := range w.Classes {
		c.require(namePattern.MatchString(string(class.Name)), "%s: class name %q must match %s", label, class.Name, namePattern)
		for _, ref := range class.Cheaper {
			c.require(w.State == LifecycleRemoved || w.Allows(ref), "%s: class %q uses %q, which is not in allowed", label, class.Name, ref)
		}
	}
}

func (c *validator) version(v *ModelVersion) {
	label := c.object(ObjectVersion, string(v.Ref), refPattern)
	c.require(v.State == VersionActive || v.State == VersionWithdrawn, "%s: state %q is not active or withdrawn", label, v.State)
	c.require(v.Cost >= 0, "%s: cost-micros must not be negative", label)
	c.share(label, "quality", v.Quality)
}

func (c *validator) rollout(r *Rollout) {
	label := c.object(ObjectRollout, string(r.Name), namePattern)
	c.ref(label, r.From)
	c.ref(label, r.To)
	c.require(r.From != r.To, "%s: from and to are the same", label)
	c.require(r.From.Model() == r.To.Model(), "%s: from and to are different models", label)
	c.require(r.Percent >= 0 && r.Percent <= 100, "%s: percent must be between 0 and 100, is %d", label, r.Percent)
	switch r.State {
	case RolloutRunning, RolloutStopped, RolloutDone:
	default:
		c.require(false, "%s: state %q is not running, stopped or done", label, r.State)
	}
}

func (c *validator) zone(z *Zone) {
	label := c.object(ObjectZone, string(z.Name), namePattern)
	c.require(z.State == ZoneInService || z.State == ZoneOutOfService, "%s: state %q is not in or out", label, z.State)
}

func (c *validator) service(s *Service) {
	label := c.object(ObjectService, string(s.Name), namePattern)
	c.require(s.State == LifecycleActive || s.State == LifecycleRemoved, "%s: state %q is not active or removed", label, s.State)
	c.require(s.Cost >= 0, "%s: cost-micros must not be negative", label)
	c.deadline(label, s.Deadline)
	for _, call := range s.Calls {
		c.require(namePattern.MatchString(call.Name), "%s: call name %q must match %s", label, call.Name, namePattern)
	}
}
