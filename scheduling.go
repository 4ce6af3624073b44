package filbertford

// AdmissionRule determines which jobs a coordinator accepts.
type AdmissionRule string

// The admission rules.
const (
	// AdmitByBacklog accepts a job unless the shortest queue makes it useless.
	AdmitByBacklog AdmissionRule = "backlog"
	// AdmitByObjective accepts a job only if it is expected to meet its objective, or
	// to end late without delaying others.
	AdmitByObjective AdmissionRule = "objective"
)

// QueueOrder is the order in which a pool starts waiting tasks.
type QueueOrder string

// The queue orders.
const (
	// OrderByDeadline starts the task with the earliest latest start first.
	OrderByDeadline QueueOrder = "deadline"
	// OrderByPriority starts the tasks of routes with a higher priority first.
	OrderByPriority QueueOrder = "priority"
)

// PlacementRule determines on which target with free capacity a task starts.
type PlacementRule string

// The placement rules.
const (
	// PlaceOnFastest starts a task on the target on which it ends first.
	PlaceOnFastest PlacementRule = "fastest"
	// PlaceInTime does the same until capacity is scarce. Then it starts a task on the
	// slowest target on which it meets its objective.
	PlaceInTime PlacementRule = "in-time"
)

// Scheduling are the settings of coordinators and pools that apply under contention.
// The zero Scheduling has the default of each setting.
type Scheduling struct {
	admission AdmissionRule
	order     QueueOrder
	placement PlacementRule
	backfill  bool
	rebalance bool
}

// WithAdmission returns a copy of s with the admission rule.
func (s Scheduling) WithAdmission(r AdmissionRule) Scheduling {
	s.admission = r
	return s
}

// WithOrder returns a copy of s with the order of waiting tasks.
func (s Scheduling) WithOrder(o QueueOrder) Scheduling {
	s.order = o
	return s
}

// WithPlacement returns a copy of s with the placement rule.
func (s Scheduling) WithPlacement(r PlacementRule) Scheduling {
	s.placement = r
	return s
}

// WithBackfill returns a copy of s that states whether a pool reserves targets for
// large tasks and fills the time until their start with small ones.
func (s Scheduling) WithBackfill(on bool) Scheduling {
	s.backfill = on
	return s
}

// WithRebalance returns a copy of s that states whether coordinators move waiting tasks
// to pools with free capacity.
func (s Scheduling) WithRebalance(on bool) Scheduling {
	s.rebalance = on
	return s
}

// Admission returns the admission rule, AdmitByBacklog by default.
func (s Scheduling) Admission() AdmissionRule {
	if s.admission == "" {
		return AdmitByBacklog
	}
	return s.admission
}

// Order returns the order of waiting tasks, OrderByDeadline by default.
func (s Scheduling) Order() QueueOrder {
	if s.order == "" {
		return OrderByDeadline
	}
	return s.order
}

// Placement returns the placement rule, PlaceOnFastest by default.
func (s Scheduling) Placement() PlacementRule {
	if s.placement == "" {
		return PlaceOnFastest
	}
	return s.placement
}

// Backfill reports whether a pool reserves targets for large tasks.
func (s Scheduling) Backfill() bool { return s.backfill }

// Rebalance reports whether coordinators move waiting tasks to other pools.
func (s Scheduling) Rebalance() bool { return s.rebalance }
