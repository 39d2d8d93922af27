package fleet

import (
	"os"
	"syscall"
)

// Process is a single process of the program that does not belong to a fleet.
type Process struct{ process *process }

// StartProcess runs this executable with the given arguments and appends the output
// to the file at logPath. The TestMain of a test binary must call RunChild.
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
func (p *Process) Signal(s os.Signal) error { return p.process.signal(s) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} {
	_, exited, _ := p.process.state()
	return exited
}

// Close kills the process, even if it is frozen, and waits until it has exited.
func (p *Process) Close() {
	_ = p.Signal(syscall.SIGKILL) // an error means that it has exited
	p.process.awaitExit()
}

// Memory returns the current and the peak resident set size of the current run in bytes. They are 0 once it has exited.
func (p *Process) Memory() (now, peak int64) { return memory(p.ID()) }

// ID returns the process id of the current run.
func (p *Process) ID() int {
	command, _, _ := p.process.state()
	return command.Process.Pid
}
