package fbcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// maxJobFileBytes is the maximum size of a job that is read from a file.
const maxJobFileBytes = 64 << 20

// submitExtraWait is the time that submit waits for the answer beyond the job's
// timeout.
const submitExtraWait = 10 * time.Second

// submitFlags are the flags of the command submit.
type submitFlags struct {
	callerFlags
	team, service, kind string
	tasks               int
	run, size, timeout  time.Duration
	args                string
	idempotent          bool
	file                string
	id                  string
	json                bool
}

func newSubmit(s Streams) *ffcli.Command {
	f := &submitFlags{}
	fs := newFlagSet("submit", s)
	f.register(fs)
	fs.StringVar(&f.team, "team", "depot", "`team` that the job is charged to")
	fs.StringVar(&f.service, "service", "ordering", "`service` that runs the job")
	fs.StringVar(&f.kind, "kind", "", "job `kind` within the service")
	fs.IntVar(&f.tasks, "tasks", 1, "number of tasks")
	fs.DurationVar(&f.run, "run", 0, "run time of each task at a stand-in target, such as 50ms")
	fs.DurationVar(&f.size, "size", 0, "declared run time of each task; the value of -run if not given")
	fs.StringVar(&f.args, "args", "", "`JSON` arguments of each task, in place of -run")
	fs.DurationVar(&f.timeout, "timeout", 0, "timeout of the job; that of the settings if not given")
	fs.BoolVar(&f.idempotent, "idempotent", false, "mark the tasks as idempotent")
	fs.StringVar(&f.file, "file", "", "read the job as JSON from a `file`, - for the standard input")
	fs.StringVar(&f.id, "id", "", "submission `ID` or opaque key; a new ID is generated if not given")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "filbertford submit [flags]",
		ShortHelp:  "Submits a job and prints its answer.",
		LongHelp: "The exit code gives the answer's class: 0 complete, 1 error, 2 failed or unknown, 3 not run, 4 this delivery started nothing.\n\n" +
			example("filbertford submit -team depot -service ordering -kind stock-check -tasks 3 -run 50ms",
				`echo '{"team":"depot","service":"ordering","tasks":[{"args":{"run_ms":50}}]}' | filbertford submit -file -`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return f.submit(ctx, s)
		},
	}
}

func (f *submitFlags) submit(ctx context.Context, s Streams) error {
	job, err := f.buildJob(s)
	if err != nil {
		return err
	}
	client, err := f.client(s)
	if err != nil {
		return err
	}
	defer client.Close()
	if job.Timeout() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, job.Timeout()+submitExtraWait)
		defer cancel()
	}
	startedAt := time.Now()
	a, trace, err := f.send(ctx, client, job)
	elapsed := time.Since(startedAt)
	if err != nil && !errors.Is(err, fbclient.ErrOutcomeUnknown) {
		return err
	}
	out := newAnswerOutput(trace.ID().String(), a)
	out.Deliveries, out.TookMS = trace.Deliveries(), elapsed.Milliseconds()
	if err != nil {
		out.Detail = err.Error()
	}
	if err := printAnswer(s.out, out, f.json); err != nil {
		return err
	}
	return exitErrorOf(a)
}

// send submits the job under the ID of -id, or under a new one.
func (f *submitFlags) send(ctx context.Context, client *fbclient.Client, job filbertford.Job) (filbertford.Answer, fbclient.Trace, error) {
	if f.id == "" {
		return client.SubmitTraced(ctx, job)
	}
	id, err := filbertford.ParseID(f.id)
	if err != nil {
		return filbertford.Answer{}, fbclient.Trace{}, eris.Wrapf(err, "-id %q", f.id)
	}
	return client.SubmitAs(ctx, id, job)
}

// buildJob returns the job described by the flags or by the file of -file.
func (f *submitFlags) buildJob(s Streams) (filbertford.Job, error) {
	if f.file != "" {
		return f.readJob(s)
	}
	switch {
	case f.tasks < 1:
		return filbertford.Job{}, eris.Errorf("-tasks is %d; it must be at least 1", f.tasks)
	case f.run < 0 || f.size < 0 || f.timeout < 0:
		return filbertford.Job{}, eris.New("-run, -size and -timeout must not be negative")
	case f.args != "" && !json.Valid([]byte(f.args)):
		return filbertford.Job{}, eris.Errorf("-args %q is not JSON", f.args)
	}
	args, size := f.args, f.size
	if args == "" && f.run > 0 {
		args = fmt.Sprintf(`{"run_ms":%g}`, float64(f.run)/float64(time.Millisecond))
	}
	if size == 0 {
		size = f.run
	}
	tasks := make([]filbertford.Task, f.tasks)
	for i := range tasks {
		tasks[i] = filbertford.NewTask([]byte(args), size)
	}
	job := filbertford.NewJob(f.team, f.service, tasks...)
	return job.WithKind(f.kind).WithTimeout(f.timeout).WithIdempotent(f.idempotent), nil
}

// jobFile is the JSON form of a job in a file, the same as in the caller interface.
type jobFile struct {
	Team       string `json:"team"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	TimeoutMS  int64  `json:"timeout_ms"`
	Idempotent bool   `json:"idempotent"`
	Tasks      []struct {
		Args   json.RawMessage `json:"args"`
		SizeMS int64           `json:"size_ms"`
	} `json:"tasks"`
}

func (f *submitFlags) readJob(s Streams) (filbertford.Job, error) {
	in := s.in
	if f.file != "-" {
		file, err := os.Open(f.file)
		if err != nil {
			return filbertford.Job{}, eris.Wrap(err, "-file")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := readBounded(in, maxJobFileBytes)
	if err != nil {
		return filbertford.Job{}, eris.Wrapf(err, "read a job from %s", f.file)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	var w jobFile
	if err := dec.Decode(&w); err != nil {
		return filbertford.Job{}, eris.Wrapf(err, "read a job from %s", f.file)
	}
	tasks := make([]filbertford.Task, len(w.Tasks))
	for i, t := range w.Tasks {
		tasks[i] = filbertford.NewTask(t.Args, time.Duration(t.SizeMS)*time.Millisecond)
	}
	job := filbertford.NewJob(w.Team, w.Service, tasks...)
	return job.WithKind(w.Kind).WithTimeout(time.Duration(w.TimeoutMS) * time.Millisecond).WithIdempotent(w.Idempotent), nil
}
