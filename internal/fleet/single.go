package fleet

import (
	"os"
	"syscall"
)

// Process is one process of the program that is started by itself, beside or without
// a fleet.
type Process struct{ p *process }

// StartProcess starts this executable once more; the TestMain of a test binary must
// call RunChild. The output is appended to a log.
func StartProcess(name, logPath string, arguments ...string) (*Process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &process{name: name, executable: executable, arguments: arguments, logPath: logPath}
	if err := p.start(); err != nil {
		return nil, err
	}
	return &Process{p}, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.p.signal(s) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	_, exited, _ := p.p.state()
	return exited
}

// Close ends the process at once, a frozen one too, and waits for its end.
func (p *Process) Close() {
	_ = p.Signal(syscall.SIGKILL) // an error means that it has ended
	p.p.awaitExit()
}
