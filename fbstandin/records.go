package fbstandin

import (
	"context"
	"encoding/json"
	"time"
)

// heartbeatInterval is the interval between two heartbeats of a worker.
const heartbeatInterval = 500 * time.Millisecond

// expiryHeartbeats is the number of heartbeats after which the record of a silent worker
// expires.
const expiryHeartbeats = 3

// WorkerRecord is a worker's row in the metadata store.
type WorkerRecord struct {
	Service     string         `json:"service"`
	Address     string         `json:"addr"`
	Zone        string         `json:"zone"`
	Version     string         `json:"version"`
	Slots       int            `json:"slots"`
	State       string         `json:"state"`
	Capacity    WorkerCapacity `json:"capacity"`
	Labels      []string       `json:"labels"`
	StartedAtMS int64          `json:"born"`
	Seq         uint64         `json:"seq"`
	ColdMS      int64          `json:"coldMs,omitempty"`
}

// WorkerCapacity is the resources of a worker: thousandths of a core, megabytes
// of memory, and GPUs.
type WorkerCapacity struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memMb"`
	GPU    int `json:"gpu"`
}

// RouteRow is a route in the configuration that the operator writes.
type RouteRow struct {
	Name             string  `json:"name"`
	Host             string  `json:"host"`
	Prefix           string  `json:"prefix"`
	TimeoutMS        int     `json:"timeoutMs"`
	TargetDurationMS int     `json:"targetDurationMs"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	Attempts         int     `json:"attempts"`
	Stretch          float64 `json:"stretch"`
}

type configRow struct {
	Version  uint64           `json:"version"`
	Routes   []RouteRow       `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
}

// PutRoutes writes a version of the configuration with the routes.
func (s *RowStore) PutRoutes(version uint64, routes ...RouteRow) error {
	data, err := json.Marshal(configRow{Version: version, Routes: routes, Limits: map[string]int{"bodyBytes": maxBody}})
	if err != nil {
		return err
	}
	s.Put("op", "", "config", data)
	return nil
}

// Evacuate writes the row that evacuates a zone, as an operator does.
func (s *RowStore) Evacuate(zone string) { s.Put("op", "", evacuationKey(zone), []byte("{}")) }

// EndEvacuation removes the row that evacuates a zone.
func (s *RowStore) EndEvacuation(zone string) { s.Remove("op", "", evacuationKey(zone)) }

func evacuationKey(zone string) string { return "evacuate/" + zone }

// PutWorker writes a worker's record.
func (s *RowStore) PutWorker(id string, r WorkerRecord) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	s.Put("servers", "", id, data)
	return nil
}

// Register writes the record of a worker at every heartbeat until the context ends,
// then removes it and returns the context's error. The ID and the time of the start are
// those of the worker's current life. It skips heartbeats while the store simulates an
// outage. The record of a worker that is down or has another ID expires.
func (s *RowStore) Register(ctx context.Context, w *Worker, r WorkerRecord) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	silent := make(map[string]int) // heartbeats since the last one under each ID
	for {
		id, startedAtMS, down := w.identity()
		if r.StartedAtMS != startedAtMS {
			r.StartedAtMS, r.Seq = startedAtMS, 0
		}
		r.Seq++
		r.ColdMS = w.coldMS()
		if s.currentFaults().Outage == "" && !down {
			silent[id] = 0
			if err := s.PutWorker(id, r); err != nil {
				return err
			}
		}
		s.expire(silent)
		select {
		case <-ctx.Done():
			for id := range silent {
				s.Remove("servers", "", id)
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// expire counts a heartbeat interval for each ID, and removes the records that have expired
// unless the store simulates an outage.
func (s *RowStore) expire(silent map[string]int) {
	if s.currentFaults().Outage != "" {
		return
	}
	for id := range silent {
		if silent[id]++; silent[id] > expiryHeartbeats {
			s.Remove("servers", "", id)
			delete(silent, id)
		}
	}
}
