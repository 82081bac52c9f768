package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

var errRunning = eris.New("process is running already")

// Process is one child process; it can be started again after it has ended.
type Process struct {
	Spec    Spec
	path    string
	args    []string
	logFile string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return wrapError("start "+p.Spec.Name(), KindProcess, errRunning)
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return wrapError("open log", KindFile, err)
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = log, log
	command.Dir = filepath.Dir(filepath.Dir(p.logFile))
	// A process group of its own keeps an interrupt at the terminal from reaching children before they are stopped in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return wrapError("start "+p.Spec.Name(), KindProcess, err)
	}
	p.command, p.ended = command, make(chan struct{})
	go p.wait(command, p.ended)
	return nil
}

func (p *Process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// ID returns the process id of the running process, or 0.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the running process.
func (p *Process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	return wrapError("signal "+p.Spec.Name(), KindProcess, p.command.Process.Signal(signal))
}

// Pause stops the process without ending it.
func (p *Process) Pause() error {
	return p.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() error {
	return p.Signal(syscall.SIGCONT)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if p.ended != nil {
		<-p.ended
	}
	return nil
}

// Stop asks the process to stop, waits for its end, and returns an error unless it exits with status 0.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process, and returns an error unless it exits with status 0.
func (p *Process) Wait(ctx context.Context) error {
	if p.ended == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return wrapError("stop "+p.Spec.Name(), KindTimeout, ctx.Err())
	case <-p.ended:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return wrapError("stop "+p.Spec.Name(), KindProcess, p.err)
}
