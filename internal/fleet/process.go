package fleet

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a named process of a fleet. It keeps its name, arguments and log
// across restarts.
type process struct {
	name        string
	executable  string
	environment []string
	arguments   []string
	logPath     string
	readyURL    string

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	exitedCPUTime time.Duration // CPU time of the runs that have exited
}

// start runs the process; its output is appended to the log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer log.Close()
	command := exec.Command(p.executable, p.arguments...)
	command.Env = append(os.Environ(), p.environment...)
	command.Env = append(command.Env, childVariable+"=1")
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the process if this one dies without closing the fleet.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return Error.New("%s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait() // the exit status is read from ProcessState
		p.mu.Lock()
		p.exitedCPUTime += command.ProcessState.UserTime() + command.ProcessState.SystemTime()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// state returns the current run, a channel that is closed at its exit, and whether
// it is alive.
func (p *process) state() (command *exec.Cmd, exited chan struct{}, alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return p.command, p.exited, false
	default:
		return p.command, p.exited, true
	}
}

func (p *process) signal(s os.Signal) error {
	command, _, alive := p.state()
	if !alive {
		return Error.New("%s is not running", p.name)
	}
	return Error.Wrap(command.Process.Signal(s))
}

func (p *process) kill() { _ = p.signal(syscall.SIGKILL) }

func (p *process) awaitExit() {
	_, exited, _ := p.state()
	<-exited
}

// Terminate requests a planned stop of a process (SIGTERM).
func (f *Fleet) Terminate(name string) error { return f.signal(name, syscall.SIGTERM) }

// Kill kills a process (SIGKILL).
func (f *Fleet) Kill(name string) error { return f.signal(name, syscall.SIGKILL) }

// Freeze suspends a process (SIGSTOP).
func (f *Fleet) Freeze(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Resume continues a frozen process (SIGCONT).
func (f *Fleet) Resume(name string) error { return f.signal(name, syscall.SIGCONT) }

func (f *Fleet) signal(name string, s os.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Alive reports whether a process exists and has not exited. A frozen process is
// alive.
func (f *Fleet) Alive(name string) bool {
	p, err := f.process(name)
	if err != nil {
		return false
	}
	_, _, alive := p.state()
	return alive
}

// WaitExit waits until a process has exited and returns its exit status, which is
// -1 if a signal ended it.
func (f *Fleet) WaitExit(ctx context.Context, name string) (int, error) {
	p, err := f.process(name)
	if err != nil {
		return 0, err
	}
	command, exited, _ := p.state()
	select {
	case <-exited:
		return command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, Error.Wrap(ctx.Err())
	}
}

// Restart starts a process again with the same arguments and addresses. It kills
// the process first if it is alive, and does not wait until the new run is ready.
func (f *Fleet) Restart(name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	p.kill()
	p.awaitExit()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return Error.New("the fleet is closed")
	}
	return p.start()
}

const (
	readyPollInterval = 20 * time.Millisecond
	probeTimeout      = 2 * time.Second // timeout of one request; a frozen process never answers
)

// WaitReady waits until a process answers its readiness URL with status 200. It
// fails if the process exits, or after 30 s.
func (f *Fleet) WaitReady(ctx context.Context, name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	_, exited, _ := p.state()
	for !probe(ctx, p.readyURL) {
		select {
		case <-exited:
			return Error.New("%s ended before it was ready: %s", name, f.LogTail(name))
		case <-ctx.Done():
			return Error.New("%s did not become ready: %s", name, f.LogTail(name))
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// probe reports whether a GET request is answered with status 200.
func probe(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// logTailBytes is how much of a log an error message contains.
const logTailBytes = 2048

// Log returns the output of a process since its first start, or "" for an unknown
// name. If the log cannot be read, it returns the text of the error.
func (f *Fleet) Log(name string) string {
	p, err := f.process(name)
	if err != nil {
		return ""
	}
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// LogTail returns the last 2 KiB of what Log returns.
func (f *Fleet) LogTail(name string) string {
	text := f.Log(name)
	if len(text) > logTailBytes {
		text = text[len(text)-logTailBytes:]
	}
	return text
}
