package fbpeer

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbwire"
)

func jobToWire(j filbertford.Job) *fbwire.Job {
	tasks := make([]*fbwire.Task, len(j.Tasks()))
	for i, t := range j.Tasks() {
		tasks[i] = &fbwire.Task{Args: t.Args(), SizeUs: t.Size().Microseconds()}
	}
	return &fbwire.Job{
		Team:       j.Team(),
		Service:    j.Service(),
		Kind:       j.Kind(),
		Tasks:      tasks,
		TimeoutUs:  j.Timeout().Microseconds(),
		Idempotent: j.Idempotent(),
	}
}

func jobFromWire(w *fbwire.Job) filbertford.Job {
	tasks := make([]filbertford.Task, len(w.GetTasks()))
	for i, t := range w.GetTasks() {
		tasks[i] = filbertford.NewTask(t.GetArgs(), micros(t.GetSizeUs()))
	}
	return filbertford.NewJob(w.GetTeam(), w.GetService(), tasks...).
		WithKind(w.GetKind()).
		WithTimeout(micros(w.GetTimeoutUs())).
		WithIdempotent(w.GetIdempotent())
}

func answerToWire(a filbertford.Answer) *fbwire.Answer {
	results := make([]*fbwire.Result, len(a.Results()))
	for i, r := range a.Results() {
		results[i] = &fbwire.Result{Output: r.Output(), Target: string(r.Target())}
	}
	return &fbwire.Answer{
		Code:         string(a.Code()),
		Detail:       a.Detail(),
		Results:      results,
		RetryAfterUs: a.RetryAfter().Microseconds(),
	}
}

func answerFromWire(w *fbwire.Answer) filbertford.Answer {
	code := filbertford.Code(w.GetCode())
	if code != filbertford.CodeComplete {
		return filbertford.NewRefusal(code, w.GetDetail()).WithRetryAfter(micros(w.GetRetryAfterUs()))
	}
	results := make([]filbertford.Result, len(w.GetResults()))
	for i, r := range w.GetResults() {
		results[i] = filbertford.NewResult(r.GetOutput(), filbertford.TargetID(r.GetTarget()))
	}
	return filbertford.NewComplete(results)
}

func stateToWire(s fbmember.State) *fbwire.DaemonState {
	w := &fbwire.DaemonState{
		Vm:              string(s.VM()),
		Incarnation:     uint64(s.Incarnation()),
		DataCentre:      string(s.DataCentre()),
		Address:         s.Address(),
		Stopping:        s.Stopping(),
		SettingsVersion: s.SettingsVersion(),
		Waiting:         int64(s.Load().Waiting()),
		Running:         int64(s.Load().Running()),
		Slots:           int64(s.Load().Slots()),
		Token:           s.Token(),
	}
	for _, inc := range s.Inherited() {
		w.Inherited = append(w.Inherited, uint64(inc))
	}
	for _, id := range s.Quarantined() {
		w.Quarantined = append(w.Quarantined, string(id))
	}
	for team, n := range s.TeamTasks() {
		w.TeamUse = append(w.TeamUse, &fbwire.TeamUse{Team: team, Busy: int64(n)})
	}
	return w
}

func stateFromWire(w *fbwire.DaemonState) fbmember.State {
	inherited := make([]filbertford.Incarnation, len(w.GetInherited()))
	for i, inc := range w.GetInherited() {
		inherited[i] = filbertford.Incarnation(inc)
	}
	teams := make(map[string]int, len(w.GetTeamUse()))
	for _, u := range w.GetTeamUse() {
		teams[u.GetTeam()] = int(u.GetBusy())
	}
	quarantined := make([]filbertford.TargetID, len(w.GetQuarantined()))
	for i, id := range w.GetQuarantined() {
		quarantined[i] = filbertford.TargetID(id)
	}
	load := filbertford.NewLoad(int(w.GetWaiting()), int(w.GetRunning()), int(w.GetSlots()), 0)
	return fbmember.NewState(
		filbertford.VMID(w.GetVm()),
		filbertford.Incarnation(w.GetIncarnation()),
		filbertford.DataCentre(w.GetDataCentre()),
		w.GetAddress(),
	).WithStopping(w.GetStopping()).
		WithSettingsVersion(w.GetSettingsVersion()).
		WithLoad(load, w.GetToken()).
		WithInherited(inherited).
		WithTeamTasks(teams).
		WithQuarantined(quarantined)
}

func partToWire(p fbcore.TablePart) *fbwire.InheritRequest {
	first, last := p.Epochs()
	key := p.Key()
	w := &fbwire.InheritRequest{
		Incarnation: uint64(p.Incarnation()),
		Key:         key[:],
		FirstEpoch:  uint32(first),
		LastEpoch:   uint32(last),
		Total:       uint32(p.Total()),
	}
	for _, e := range p.Entries() {
		w.Submissions = append(w.Submissions, &fbwire.Submission{
			Id:     e.ID(),
			Epoch:  uint32(e.Epoch()),
			Opaque: e.Opaque(),
			Digest: e.Digest(),
			Answer: answerToWire(e.Answer()),
		})
	}
	return w
}

func partFromWire(w *fbwire.InheritRequest) fbcore.TablePart {
	entries := make([]fbcore.TableEntry, len(w.GetSubmissions()))
	for i, s := range w.GetSubmissions() {
		if s.GetOpaque() {
			entries[i] = fbcore.NewOpaqueEntry(s.GetId(), s.GetDigest(), answerFromWire(s.GetAnswer()))
			continue
		}
		entries[i] = fbcore.NewPinnedEntry(filbertford.Epoch(s.GetEpoch()), s.GetId(), s.GetDigest(), answerFromWire(s.GetAnswer()))
	}
	var key fbcore.Key
	copy(key[:], w.GetKey())
	return fbcore.NewTablePart(
		filbertford.Incarnation(w.GetIncarnation()), key,
		filbertford.Epoch(w.GetFirstEpoch()), filbertford.Epoch(w.GetLastEpoch()),
		entries, int(w.GetTotal()),
	)
}

func vmToWire(v filbertford.VM) *fbwire.VM {
	return &fbwire.VM{
		Id:         string(v.ID()),
		Role:       string(v.Role()),
		State:      string(v.State()),
		DataCentre: string(v.DataCentre()),
		Address:    v.Address(),
		Rack:       v.Rack(),
		Slots:      int64(v.Slots()),
		Conns:      int64(v.Conns()),
		Services:   v.Services(),
	}
}

func vmFromWire(w *fbwire.VM) filbertford.VM {
	dc := filbertford.DataCentre(w.GetDataCentre())
	return filbertford.NewVM(filbertford.VMID(w.GetId()), filbertford.Role(w.GetRole()), dc, w.GetAddress()).
		WithState(filbertford.VMState(w.GetState())).
		WithRack(w.GetRack()).
		WithCapacity(int(w.GetSlots()), int(w.GetConns())).
		WithServices(w.GetServices()...)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
